package ports

import (
	"fmt"
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a process that cannot listen because two of its listeners were given the same
// port.
func TestFreeReturnsEachPortOnce(t *testing.T) {
	given := make(map[int]bool)
	for range count / 8 {
		port, err := Free(2)
		require.NoError(t, err)
		for _, p := range []int{port, port + 1} {
			require.False(t, given[p], "port %d was given before", p)
			given[p] = true
		}
	}
}

// Guards against a process that cannot listen because the system gave its port to an outgoing
// connection.
func TestFreeStaysBelowEphemeralPorts(t *testing.T) {
	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	require.NoError(t, err)
	var lowest, highest int
	_, err = fmt.Sscan(string(data), &lowest, &highest)
	require.NoError(t, err)
	for range 100 {
		port, err := Free(4)
		require.NoError(t, err)
		require.Less(t, port+3, lowest)
	}
}

// Guards against a port on which another process listens.
func TestFreePassesOverPortsInUse(t *testing.T) {
	port, err := Free(3)
	require.NoError(t, err)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+1))
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	require.False(t, areFree(port, 3))
}
