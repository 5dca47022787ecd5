package fleet

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/gen/basilloom/v1/basilloomv1connect"
	"github.com/basilloom/basilloom/membership"
	"github.com/basilloom/basilloom/mirror"
	"github.com/basilloom/basilloom/telemetry/field"
)

// Times and sizes of the synchronization of tables with peers.
const (
	syncPeriod = 150 * time.Millisecond
	// feedDelay is how long a peer's table may be newer before an instance that reads the
	// store fetches it. The store's feed delivers changes within this time unless it
	// refuses this instance.
	feedDelay = 400 * time.Millisecond
	// readersPerZone is the largest number of instances of an availability zone that read
	// the store. The others copy the tables from their peers.
	readersPerZone = 2
	// minReaders is the number of readers in all zones from which on a zone has one. While it
	// fails or its connection is silent, the zone hears of changes from the other readers.
	minReaders   = 4
	fetchTimeout = 600 * time.Millisecond
	// fetchFailureBackoff is how long other peers are asked first after a failed fetch. A
	// peer can send reports and not respond, for example when a link is cut in one direction.
	fetchFailureBackoff = 2 * time.Second
	// idleConnTimeout is how long a connection to a peer is kept for the next fetch.
	idleConnTimeout = time.Second
	// maxTableBytes bounds the size of a fetched table.
	maxTableBytes = 8 << 20
	// maxRequestBytes bounds the size of a request for a table.
	maxRequestBytes = 64 << 10
)

// tableSync is the state of the fetches from peers.
type tableSync struct {
	client *http.Client
	// behindSince is when a peer's table was first seen to be newer, by table.
	behindSince map[string]time.Time
	// avoidUntil is when a peer whose last fetch failed may be asked again before others, by
	// address.
	avoidUntil map[string]time.Time
}

func newTableSync() *tableSync {
	return &tableSync{client: newClient(), behindSince: make(map[string]time.Time), avoidUntil: make(map[string]time.Time)}
}

// syncTables fetches tables from peers that hold newer copies.
func (f *Fleet) syncTables(ctx context.Context) {
	s := newTableSync()
	defer func() { s.client.CloseIdleConnections() }()
	ticker := time.NewTicker(syncPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, t := range f.settings.Tables {
				f.syncTable(ctx, s, t, now)
			}
		}
	}
}

func (f *Fleet) syncTable(ctx context.Context, s *tableSync, t *mirror.Table, now time.Time) {
	maps.DeleteFunc(s.avoidUntil, func(_ string, until time.Time) bool { return now.After(until) })
	address, newer := f.newestCopy(t, s.avoidUntil, now)
	if !newer {
		delete(s.behindSince, t.Name())
		return
	}
	if _, ok := s.behindSince[t.Name()]; !ok {
		s.behindSince[t.Name()] = now
	}
	if f.ReadsStore(t.Name(), now) && now.Sub(s.behindSince[t.Name()]) < feedDelay {
		return
	}
	before := t.Version()
	err := f.copyTable(ctx, s.client, address, t, before)
	if errors.Is(err, mirror.ErrIncompleteCopy) {
		err = f.copyTable(ctx, s.client, address, t, 0)
	}
	if err != nil {
		f.settings.Log.Info("table could not be fetched from a peer", zap.String(field.Table, t.Name()), zap.String(field.Address, address), zap.Error(err))
		s.avoidUntil[address] = time.Now().Add(fetchFailureBackoff)
		// The connection may be silent; the client would go on using it. It is closed when it
		// has been idle for idleConnTimeout.
		s.client = newClient()
		return
	}
	delete(s.behindSince, t.Name())
	if before > 0 && !f.isNear(address) {
		signal(f.announced) // the first copy in the zone
	}
}

// isNear reports whether the address is that of a peer of the same availability zone.
func (f *Fleet) isNear(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.peers {
		if p.Address == address {
			return p.Zone == f.settings.Zone
		}
	}
	return false
}

// copyTable applies a peer's copy of a table, or its difference from the version after.
func (f *Fleet) copyTable(ctx context.Context, client *http.Client, address string, t *mirror.Table, after int64) error {
	c, response, err := fetch(ctx, client, f.settings.Authorize, address, t.Name(), after)
	if err != nil {
		return err
	}
	if members := response.GetMembers(); len(members) > 0 {
		f.AddMembers(members)
	}
	if f.settings.OnCopy != nil && after == 0 {
		f.settings.OnCopy(response)
	}
	if c.Version == 0 {
		return nil // the peer has no copy yet
	}
	_, err = t.ApplyFromPeer(c)
	return err
}

// ReadsStore reports whether this instance reads a table from the store: it is among
// the instances of its availability zone that rank highest, not counting those without a
// recent report and those to which the store does not respond.
func (f *Fleet) ReadsStore(table string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := readerRank(f.settings.Self, f.settings.MilliCores)
	before := 0
	zones := map[string]bool{f.settings.Zone: true}
	for _, p := range f.peers {
		if f.isCurrent(p, now) {
			zones[p.Zone] = true
		}
		if p.Zone == f.settings.Zone && !p.Leaving && f.isCurrent(p, now) &&
			readerRank(p.Name, p.Report.GetMilliCores()).above(own) && canRead(p.Report, table) {
			before++
		}
	}
	readers := min(readersPerZone, (minReaders+len(zones)-1)/len(zones))
	if f.settings.Instances != nil && table == f.settings.Instances.Name() {
		readers = 1 // a lease outlasts the loss of a reader
	}
	return before < readers
}

func readerRank(instance string, milliCores uint32) rank {
	return rank{milliCores: milliCores, score: membership.Score("store reader", instance)}
}

// canRead reports whether the sender has a copy of the table and the store responds to it.
func canRead(report *pb.FleetReport, table string) bool {
	for _, t := range report.GetTables() {
		if t.GetTable() == table {
			return !t.GetStoreUnavailable()
		}
	}
	return false
}

// newestCopy returns the address of a peer whose copy of a table is newer than the local
// copy and differs from it: one of the same availability zone if there is any, else the
// one with the newest copy. Peers in avoid are chosen only if there are no others. The
// digests are compared because an instance that has just read the table cannot know when
// it last changed. If there is neither a local copy nor a peer with one, it returns a seed.
func (f *Fleet) newestCopy(t *mirror.Table, avoid map[string]time.Time, now time.Time) (string, bool) {
	var version int64
	var digest uint64
	if current := t.Current(); current != nil {
		version, digest = current.Version, current.Digest
	}
	var responsive, avoided copyHolders
	for _, report := range f.LiveReports(now) {
		for _, remote := range report.GetTables() {
			differs := version == 0 || remote.GetDigest() != digest
			if remote.GetTable() != t.Name() || remote.GetChanged() <= version || !differs {
				continue
			}
			holders := &responsive
			if _, ok := avoid[report.GetAddress()]; ok {
				holders = &avoided
			}
			holders.add(report.GetAddress(), remote.GetChanged(), report.GetZone() == f.settings.Zone)
		}
	}
	address := responsive.choose()
	if address == "" {
		address = avoided.choose()
	}
	if address == "" && version == 0 {
		address = f.seed()
	}
	return address, address != ""
}

// copyHolders are the peers that hold a newer copy of a table.
type copyHolders struct {
	// near are the addresses of those in the same availability zone.
	near []string
	// newest is the address of the one with the newest copy, which changed last at version.
	newest  string
	version int64
}

func (h *copyHolders) add(address string, version int64, near bool) {
	if near {
		h.near = append(h.near, address)
	}
	if version > h.version {
		h.newest, h.version = address, version
	}
}

func (h *copyHolders) choose() string {
	if len(h.near) > 0 {
		return h.near[rand.IntN(len(h.near))]
	}
	return h.newest
}

func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: fetchTimeout, KeepAlive: -1}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, Protocols: protocols, IdleConnTimeout: idleConnTimeout,
	}}
}

// fetch fetches a peer's copy of a table, or its difference from the version after.
func fetch(ctx context.Context, client *http.Client, authorize func(http.Header), address, table string, after int64) (mirror.PeerCopy, *pb.FetchTableResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	peer := basilloomv1connect.NewFleetServiceClient(client, "http://"+address, connect.WithReadMaxBytes(maxTableBytes))
	request := connect.NewRequest(&pb.FetchTableRequest{Table: table, After: after})
	if authorize != nil {
		authorize(request.Header())
	}
	response, err := peer.FetchTable(ctx, request)
	if err != nil {
		return mirror.PeerCopy{}, nil, err
	}
	m := response.Msg
	c := mirror.PeerCopy{Version: m.GetVersion(), Changed: m.GetChanged(), Digest: m.GetDigest(), After: after, Keys: m.GetKeys()}
	for _, r := range m.GetRows() {
		c.Rows = append(c.Rows, mirror.Row{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion()})
	}
	if m.GetSinceRecoveryMs() > 0 {
		c.RecoveredAt = time.Now().Add(-time.Duration(m.GetSinceRecoveryMs()) * time.Millisecond)
	}
	return c, m, nil
}

// Handler serves this instance's copies of the tables to its peers.
func (f *Fleet) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(basilloomv1connect.NewFleetServiceHandler(tableServer{f}, connect.WithReadMaxBytes(maxRequestBytes)))
	return mux
}

type tableServer struct{ fleet *Fleet }

// FetchTable implements basilloomv1connect.FleetServiceHandler. A table without a local
// copy has version 0.
func (s tableServer) FetchTable(_ context.Context, r *connect.Request[pb.FetchTableRequest]) (*connect.Response[pb.FetchTableResponse], error) {
	response := &pb.FetchTableResponse{}
	if r.Msg.GetAfter() == 0 {
		response.Members = s.fleet.Members()
		if s.fleet.settings.FillCopy != nil {
			s.fleet.settings.FillCopy(response)
		}
	}
	for _, t := range s.fleet.settings.Tables {
		if t.Name() != r.Msg.GetTable() {
			continue
		}
		c := t.CopyAfter(r.Msg.GetAfter())
		response.Version, response.Changed, response.Digest, response.Keys = c.Version, c.Changed, c.Digest, c.Keys
		for _, row := range c.Rows {
			response.Rows = append(response.Rows, &pb.TableRow{Key: row.Key, Value: row.Value, Version: row.Version})
		}
		if !c.RecoveredAt.IsZero() {
			response.SinceRecoveryMs = max(1, time.Since(c.RecoveredAt).Milliseconds())
		}
	}
	return connect.NewResponse(response), nil
}
