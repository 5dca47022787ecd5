package link

import (
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// waitTimeout limits the wait for expected events. Tests do not measure it.
const waitTimeout = 20 * time.Second

// echo starts a server that returns the data it receives, and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

func start(t *testing.T, settings Settings) (*Link, string) {
	t.Helper()
	l := New(settings)
	t.Cleanup(l.Close)
	address, err := l.Forward(AToB, "127.0.0.1:0", echo(t))
	require.NoError(t, err)
	return l, address
}

func dial(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	return conn.(*net.TCPConn)
}

// firstError connects, reads once and returns the first error. A reset may arrive
// before the dial returns.
func firstError(t *testing.T, address string) error {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = conn.Read(make([]byte, 1))
	return err
}

// exchange sends data, closes the write side and reads the echo to the end.
func exchange(t *testing.T, conn *net.TCPConn, data []byte) []byte {
	t.Helper()
	go func() {
		_, _ = conn.Write(data)
		_ = conn.CloseWrite()
	}()
	response, err := io.ReadAll(conn)
	require.NoError(t, err)
	return response
}

// Guards against changed or lost data, a missing delay, and wrong counters. Only
// lower bounds of time are checked, so that the test passes on a busy machine.
func TestDelayAndCounters(t *testing.T) {
	const delay = 50 * time.Millisecond
	l, address := start(t, Settings{Delay: delay})
	data := make([]byte, 300_001)
	for i := range data {
		data[i] = byte(i * 7 / 3)
	}
	conn := dial(t, address)
	for range 2 { // the first round trip includes connection setup
		begin := time.Now()
		_, err := conn.Write([]byte("a"))
		require.NoError(t, err)
		_, err = io.ReadFull(conn, make([]byte, 1))
		require.NoError(t, err)
		require.GreaterOrEqual(t, time.Since(begin), 2*delay)
	}
	require.Equal(t, data, exchange(t, conn, data))
	require.Equal(t, Stats{AToBBytes: 300_003, BToABytes: 300_003, Connections: 1}, l.Stats())
}

// Guards against a bandwidth limit per connection, which would hide that all
// connections between regions share one link.
func TestBandwidthIsShared(t *testing.T) {
	const rate, size, count = 2_000_000, 200_000, 3
	_, address := start(t, Settings{BytesPerSecond: rate})
	begin := time.Now()
	done := make(chan int, count)
	for range count {
		conn := dial(t, address)
		go func() { done <- len(exchange(t, conn, make([]byte, size))) }()
	}
	for range count {
		require.Equal(t, size, <-done)
	}
	require.GreaterOrEqual(t, time.Since(begin).Seconds(), float64(size*count-chunkBytes)/rate)
}

// Guards against a black hole that lets data pass, or that loses data when the link
// is restored.
func TestBlackHoleHoldsData(t *testing.T) {
	l, address := start(t, Settings{})
	conn := dial(t, address)
	_, err := conn.Write([]byte("a"))
	require.NoError(t, err)
	_, err = io.ReadFull(conn, make([]byte, 1))
	require.NoError(t, err)

	l.Cut(BlackHole)
	_, err = conn.Write([]byte("b"))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = conn.Read(make([]byte, 1))
	require.ErrorContains(t, err, "timeout")
	require.EqualValues(t, 1, l.Stats().AToBBytes)

	l.Restore()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	got := make([]byte, 1)
	_, err = io.ReadFull(conn, got)
	require.NoError(t, err)
	require.Equal(t, "b", string(got))
}

// Guards against a cut that separates a target from clients on its own side.
func TestSameSideConnectionsPassCutLink(t *testing.T) {
	sides := [directions]netip.Prefix{netip.MustParsePrefix("127.0.1.0/24"), netip.MustParsePrefix("127.0.2.0/24")}
	l, address := start(t, Settings{Sides: sides})
	l.Cut(Reset)
	dialFrom := func(source string) net.Conn {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
		conn, err := dialer.Dial("tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
		return conn
	}
	near := dialFrom("127.0.2.1")
	_, err := near.Write([]byte("a"))
	require.NoError(t, err)
	_, err = io.ReadFull(near, make([]byte, 1))
	require.NoError(t, err)
	require.ErrorContains(t, firstError(t, address), "reset")
}

// Guards against a reset that looks like a normal end, and a link that stays cut
// after it is restored.
func TestResetAndRestore(t *testing.T) {
	l, address := start(t, Settings{})
	conn := dial(t, address)
	_, err := conn.Write([]byte("a"))
	require.NoError(t, err)
	_, err = io.ReadFull(conn, make([]byte, 1))
	require.NoError(t, err)
	l.Cut(Reset)
	_, err = conn.Read(make([]byte, 1))
	require.ErrorContains(t, err, "reset")
	require.ErrorContains(t, firstError(t, address), "reset")
	l.Restore()
	require.Equal(t, []byte("c"), exchange(t, dial(t, address), []byte("c")))
}

// Guards against an unreachable target that looks like an empty response.
func TestUnreachableTargetResets(t *testing.T) {
	l := New(Settings{})
	t.Cleanup(l.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	address, err := l.Forward(BToA, "127.0.0.1:0", listener.Addr().String())
	require.NoError(t, err)
	require.ErrorContains(t, firstError(t, address), "reset")
}

// Guards against a crashed target that looks like a normal end of the response.
func TestTargetResetIsForwarded(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = target.Close() })
	go func() {
		if conn, err := target.Accept(); err == nil {
			_, _ = conn.Read(make([]byte, 1))
			reset(conn)
		}
	}()
	l := New(Settings{})
	t.Cleanup(l.Close)
	address, err := l.Forward(AToB, "127.0.0.1:0", target.Addr().String())
	require.NoError(t, err)
	conn := dial(t, address)
	_, err = conn.Write([]byte("a"))
	require.NoError(t, err)
	_, err = conn.Read(make([]byte, 1))
	require.ErrorContains(t, err, "reset")
}

// Guards against a silenced connection that is closed or delivers data, and against new
// connections that do not work.
func TestSilenceAffectsExistingConnectionsOnly(t *testing.T) {
	l, address := start(t, Settings{})
	silent := dial(t, address)
	_, err := silent.Write([]byte("x"))
	require.NoError(t, err)
	_, err = io.ReadFull(silent, make([]byte, 1))
	require.NoError(t, err)
	l.Silence()
	_, err = silent.Write([]byte("lost"))
	require.NoError(t, err)
	require.NoError(t, silent.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
	_, err = silent.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Equal(t, "new", string(exchange(t, dial(t, address), []byte("new"))))
}
