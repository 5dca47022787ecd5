package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	pb "github.com/basilloom/basilloom/gen/basilloom/v1"
	"github.com/basilloom/basilloom/internal/standin/link"
	"github.com/basilloom/basilloom/internal/standin/platformstore"
	"github.com/basilloom/basilloom/internal/standin/rawserver"
	"github.com/basilloom/basilloom/mirror"
	"github.com/basilloom/basilloom/platform"
)

// applyTime is the time within which a change must take effect.
const applyTime = 2500 * time.Millisecond

// tablePeer is a peer that follows the store and serves its copy of a table.
type tablePeer struct {
	store    *platformstore.Store
	table    *mirror.Table
	server   *httptest.Server
	sequence uint64
}

func startTablePeer(t *testing.T) *tablePeer {
	p := &tablePeer{store: platformstore.New()}
	p.store.Put("op", "config", []byte("0"))
	store := httptest.NewServer(p.store)
	p.table = mirror.NewTable("op", platform.NewStore(strings.TrimPrefix(store.URL, "http://")), zap.NewNop())
	f := newFleet(t)
	f.settings.Tables = []*mirror.Table{p.table}
	p.server = httptest.NewUnstartedServer(f.Handler())
	p.server.Config.Protocols = new(http.Protocols)
	p.server.Config.Protocols.SetUnencryptedHTTP2(true)
	p.server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.table.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		p.server.CloseClientConnections()
		p.server.Close()
		store.Close()
	})
	return p
}

// change changes the table and reports it to f, from an instance at each of the addresses.
func (p *tablePeer) change(t *testing.T, f *Fleet, addresses ...string) {
	t.Helper()
	before := p.table.Version()
	p.store.Put("op", "config", []byte(strconv.FormatUint(p.sequence, 10)))
	require.Eventually(t, func() bool { return p.table.Version() > before }, applyTime, time.Millisecond)
	p.report(f, addresses...)
}

// report reports the table to f, from an instance at each of the addresses.
func (p *tablePeer) report(f *Fleet, addresses ...string) {
	p.sequence++
	current := p.table.Current()
	for _, address := range addresses {
		m := report(address, 1, p.sequence, "z1")
		m.Address, m.MilliCores = address, 1000
		m.Tables = []*pb.TableVersion{{Table: "op", Changed: current.Changed, Digest: current.Digest}}
		f.accept(m, time.Now())
	}
}

// follower returns a fleet with a copy of the table that reads no store.
func follower(t *testing.T) (*Fleet, *mirror.Table) {
	f := newFleet(t)
	table := mirror.NewTable("op", staticSource{}, zap.NewNop())
	f.settings.Tables = []*mirror.Table{table}
	return f, table
}

// startUnresponsive starts a server that accepts connections and never responds. It
// returns its address and the number of connections so far.
func startUnresponsive(t *testing.T) (string, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var accepted atomic.Int64
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			t.Cleanup(func() { _ = c.Close() })
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String(), &accepted
}

// Guards against asking a peer that reports but does not respond again and again while
// another peer of the zone has the newest table.
func TestUnresponsivePeerIsNotAskedAgain(t *testing.T) {
	t.Parallel()
	p := startTablePeer(t)
	f, table := follower(t)
	silent, accepted := startUnresponsive(t)
	s := newTableSync()
	defer s.client.CloseIdleConnections()
	failed := 0
	responsive := p.server.Listener.Addr().String()
	for range 8 {
		p.change(t, f, silent, responsive)
		for before := table.Version(); table.Version() == before; {
			p.report(f, silent, responsive)
			f.syncTable(t.Context(), s, table, time.Now())
			if table.Version() == before {
				failed++
			}
			require.LessOrEqual(t, failed, 2, "fetches without a result, in %d connections to the unresponsive peer", accepted.Load())
		}
	}
}

// Guards against an instance that goes on using a silent connection to a peer.
func TestSilentConnectionsToPeersAreReplaced(t *testing.T) {
	t.Parallel()
	p := startTablePeer(t)
	network := link.New(link.Settings{})
	t.Cleanup(network.Close)
	address, err := network.Forward(link.AToB, "127.0.0.1:0", p.server.Listener.Addr().String())
	require.NoError(t, err)
	f, table := follower(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.syncTables(ctx)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	p.change(t, f, address)
	require.Eventually(t, func() bool { return table.Version() == p.table.Version() }, applyTime, time.Millisecond)
	network.Silence()
	p.change(t, f, address)
	require.Eventually(t, func() bool {
		p.report(f, address)
		return table.Version() == p.table.Version()
	}, applyTime, 50*time.Millisecond)
}

// Guards against announcements that grow with the square of a zone: a change is announced
// by the instance that reads it from the store and by the first of another zone that copies
// it, not by each instance that copies it within its zone.
func TestCopiesWithinAZoneAreNotAnnounced(t *testing.T) {
	for zone, announced := range map[string]bool{"z1": false, "z2": true} {
		t.Run(zone, func(t *testing.T) {
			holder, copying := startTablePeer(t), newFleet(t)
			for k := range 20 {
				holder.store.Put("op", "config", []byte(strconv.Itoa(k)))
			}
			require.Eventually(t, func() bool { return holder.table.Version() > 20 }, time.Second, time.Millisecond)
			old := mirror.NewTable("op", staticSource{{Key: "config", Version: 7}}, zap.NewNop())
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go old.Run(ctx)
			require.Eventually(t, func() bool { return old.Current() != nil }, time.Second, time.Millisecond)
			m := report("holder", 1, 1, zone)
			m.Address = holder.server.Listener.Addr().String()
			m.Tables = []*pb.TableVersion{{Table: "op", Changed: holder.table.Version(), Digest: holder.table.Current().Digest}}
			now := time.Now()
			require.True(t, copying.accept(m, now))
			s := newTableSync()
			copying.syncTable(ctx, s, old, now)
			copying.syncTable(ctx, s, old, now.Add(2*feedDelay))
			require.Equal(t, holder.table.Version(), old.Version())
			require.Equal(t, announced, len(copying.announced) > 0)
			require.Empty(t, copying.announcedFar)
		})
	}
}

// Guards against a part of a peer's answer that is taken for a whole one because its connection
// was closed or reset on the way. Only such answers pass between instances: responses to
// callers pass through one instance only.
func TestPartOfAPeersAnswerIsNoAnswer(t *testing.T) {
	p := startTablePeer(t)
	for k := range 40 {
		p.store.Put("op", fmt.Sprint("row-", k), []byte(strings.Repeat("v", k)))
	}
	require.Eventually(t, func() bool { return p.table.Current() != nil && len(p.table.Current().Rows) == 41 }, applyTime, time.Millisecond)
	const whole = 1 << 20
	var passed atomic.Int64
	// cut returns the address of a proxy that ends a connection after n bytes of the answer.
	cut := func(n int64, reset bool) *rawserver.Server {
		proxy, err := rawserver.Start(func(c *rawserver.Conn) {
			peer, err := net.Dial("tcp", p.server.Listener.Addr().String())
			if err != nil {
				return // the fetch fails
			}
			defer func() { _ = peer.Close() }()
			go func() { _, _ = io.Copy(peer, c.TCPConn) }()
			k, _ := io.CopyN(c.TCPConn, peer, n)
			passed.Store(k)
			if reset {
				c.Reset()
				return
			}
			c.CloseWrite()
			c.Drain()
		})
		require.NoError(t, err)
		return proxy
	}
	get := func(n int64, reset bool) (mirror.PeerCopy, error) {
		proxy := cut(n, reset)
		client := newClient()
		defer client.CloseIdleConnections()
		defer proxy.Close()
		c, _, err := fetch(t.Context(), client, nil, proxy.Address(), "op", 0)
		return c, err
	}
	complete, err := get(whole, false)
	require.NoError(t, err)
	require.Len(t, complete.Rows, 41)
	cuts := 0
	for n := int64(1); ; n += 29 {
		for _, reset := range []bool{false, true} {
			c, err := get(n, reset)
			if err == nil {
				require.ElementsMatch(t, complete.Rows, c.Rows, "cut after %d bytes, reset %v", n, reset)
				continue
			}
			cuts++
		}
		if passed.Load() < n || n > 4000 {
			break
		}
	}
	require.Greater(t, cuts, 40)
}
