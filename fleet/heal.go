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

// Times of the comparison with peers' tables.
const (
	healPeriod = 150 * time.Millisecond
	// healPatience is how long a peer's table may be newer before it is fetched.
	// The store's own feed delivers within it unless this instance is refused.
	healPatience = 400 * time.Millisecond
	fetchTimeout = 600 * time.Millisecond
	// maxTableBytes bounds a table that a peer sends.
	maxTableBytes = 8 << 20
)

// heal fetches tables from peers that hold newer ones.
func (f *Fleet) heal(ctx context.Context) {
	client := newClient()
	defer client.CloseIdleConnections()
	behind := make(map[string]time.Time)
	ticker := time.NewTicker(healPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, t := range f.settings.Tables {
				f.healTable(ctx, client, t, behind, now)
			}
		}
	}
}

func (f *Fleet) healTable(ctx context.Context, client *http.Client, t *mirror.Table, behind map[string]time.Time, now time.Time) {
	address, newer := f.newest(t, now)
	if !newer {
		delete(behind, t.Name())
		return
	}
	if _, ok := behind[t.Name()]; !ok {
		behind[t.Name()] = now
	}
	if now.Sub(behind[t.Name()]) < healPatience {
		return
	}
	response, err := fetch(ctx, client, address, t.Name())
	if err != nil {
		f.settings.Log.Info("table not fetched", zap.String(field.Table, t.Name()), zap.String(field.Address, address), zap.Error(err))
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
	delete(behind, t.Name())
}

// newest returns a peer whose table is newer than the own copy and differs from it:
// an instance that has just read the table does not know when it last changed.
// Without any copy and any peer it returns a seed.
func (f *Fleet) newest(t *mirror.Table, now time.Time) (string, bool) {
	var version int64
	var digest uint64
	if current := t.Current(); current != nil {
		version, digest = current.Version, current.Digest
	}
	best, address := version, ""
	for _, report := range f.LiveReports(now) {
		for _, known := range report.GetTables() {
			differs := version == 0 || known.GetDigest() != digest
			if known.GetTable() == t.Name() && known.GetChanged() > best && differs {
				best, address = known.GetChanged(), report.GetAddress()
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

// Handler serves the copies of the tables to the other instances.
func (f *Fleet) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(basilloomv1connect.NewFleetServiceHandler(tableServer{f}))
	return mux
}

type tableServer struct{ fleet *Fleet }

// FetchTable implements the service. A table that is not known yet has version 0.
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
