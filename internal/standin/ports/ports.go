// Package ports gives TCP ports on 127.0.0.1 to processes that are started with the port in their
// settings.
package ports

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
)

// All ports are below the system's ephemeral range, from which an outgoing connection or a listener
// on port 0 could take a port before the process listens on it.
const (
	first = 20000
	count = 10000
)

// taken is the offset after the last port given. It starts at random, as the tests of several
// packages run at the same time.
var taken atomic.Uint32

func init() { taken.Store(rand.Uint32N(count)) }

var errNone = errors.New("no free port")

// Free returns the first of n consecutive ports on which nothing listens. No port is returned
// again before all others.
func Free(n int) (int, error) {
	for range count {
		offset := int(taken.Add(uint32(n))-uint32(n)) % count
		if offset+n <= count && areFree(first+offset, n) {
			return first + offset, nil
		}
	}
	return 0, errNone
}

func areFree(port, n int) bool {
	for p := port; p < port+n; p++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil || listener.Close() != nil {
			return false
		}
	}
	return true
}
