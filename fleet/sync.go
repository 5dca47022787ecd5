package fleet

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/gen/basilloom/v1/basilloomv1connect"
	"github.com/basilloom/basilloom/mirror"
	"github.com/basilloom/basilloom/telemetry/field"
)

// Times and sizes of the synchronization of tables with peers.
const (
	syncPeriod = 150 * time.Millisecond
	// feedDelay is how long a peer's table may be newer before it is fetched. The
	// store's feed delivers changes within this time unless it refuses this instance.
	feedDelay    = 400 * time.Millisecond
	fetchTimeout = 600 * time.Millisecond
	// maxTableBytes bounds the size of a fetched table.
	maxTableBytes = 8 << 20
)

// syncTables fetches tables from peers that hold newer copies.
func (f *Fleet) syncTables(ctx context.Context) {
	client := newClient()
	defer client.CloseIdleConnections()
	behindSince := make(map[string]time.Time)
	ticker := time.NewTicker(syncPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, t := range f.settings.Tables {
				f.syncTable(ctx, client, t, behindSince, now)
			}
		}
	}
}

func (f *Fleet) syncTable(ctx context.Context, client *http.Client, t *mirror.Table, behindSince map[string]time.Time, now time.Time) {
	address, newer := f.newestCopy(t, now)
	if !newer {
		delete(behindSince, t.Name())
		return
	}
	if _, ok := behindSince[t.Name()]; !ok {
		behindSince[t.Name()] = now
	}
	if now.Sub(behindSince[t.Name()]) < feedDelay {
		return
	}
	response, err := fetch(ctx, client, address, t.Name())
	if err != nil {
		f.settings.Log.Info("table could not be fetched from a peer", zap.String(field.Table, t.Name()), zap.String(field.Address, address), zap.Error(err))
		return
	}
	f.AddMembers(response.GetMembers())
	rows := make([]mirror.Row, 0, len(response.GetRows()))
	for _, r := range response.GetRows() {
		rows = append(rows, mirror.Row{Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion()})
	}
	if response.GetVersion() > 0 {
		t.ApplyFromPeer(rows, response.GetVersion(), response.GetChanged())
	}
	delete(behindSince, t.Name())
}

// newestCopy returns the address of the peer with the newest copy of a table that is
// newer than the local copy and differs from it. The digests are compared because an
// instance that has just read the table cannot know when it last changed. If there is
// neither a local copy nor a peer with one, it returns a seed.
func (f *Fleet) newestCopy(t *mirror.Table, now time.Time) (string, bool) {
	var version int64
	var digest uint64
	if current := t.Current(); current != nil {
		version, digest = current.Version, current.Digest
	}
	newest, address := version, ""
	for _, report := range f.LiveReports(now) {
		for _, remote := range report.GetTables() {
			differs := version == 0 || remote.GetDigest() != digest
			if remote.GetTable() == t.Name() && remote.GetChanged() > newest && differs {
				newest, address = remote.GetChanged(), report.GetAddress()
			}
		}
	}
	if address == "" && version == 0 {
		address = f.seed()
	}
	return address, address != ""
}

func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: fetchTimeout, KeepAlive: -1}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, Protocols: protocols, IdleConnTimeout: time.Second,
	}}
}

func fetch(ctx context.Context, client *http.Client, address, table string) (*pb.FetchTableResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	peer := basilloomv1connect.NewFleetServiceClient(client, "http://"+address, connect.WithReadMaxBytes(maxTableBytes))
	response, err := peer.FetchTable(ctx, connect.NewRequest(&pb.FetchTableRequest{Table: table}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Handler serves this instance's copies of the tables to its peers.
func (f *Fleet) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(basilloomv1connect.NewFleetServiceHandler(tableServer{f}))
	return mux
}

type tableServer struct{ fleet *Fleet }

// FetchTable implements basilloomv1connect.FleetServiceHandler. A table without a local
// copy has version 0.
func (s tableServer) FetchTable(_ context.Context, r *connect.Request[pb.FetchTableRequest]) (*connect.Response[pb.FetchTableResponse], error) {
	response := &pb.FetchTableResponse{Members: s.fleet.Members()}
	for _, t := range s.fleet.settings.Tables {
		current := t.Current()
		if t.Name() != r.Msg.GetTable() || current == nil {
			continue
		}
		response.Version, response.Changed = current.Version, current.Changed
		for _, row := range current.Rows {
			response.Rows = append(response.Rows, &pb.TableRow{Key: row.Key, Value: row.Value, Version: row.Version})
		}
	}
	return connect.NewResponse(response), nil
}
