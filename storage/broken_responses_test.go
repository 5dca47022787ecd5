package storage

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/internal/standin/rawserver"
)

// Guards against a write that counts as done, or as refused by its condition, after a broken
// response.
func TestWriteWithAResponseThatBreaksOff(t *testing.T) {
	const refused = `{"__type":"com.amazonaws.dynamodb.v20120810#ConditionalCheckFailedException","message":"The conditional request failed"}`
	value := make([]byte, 4<<20) // more than the socket buffers hold
	for _, ending := range rawserver.Endings {
		for _, c := range []struct {
			response string
			want     error
		}{
			{"HTTP/1.1 200 OK\r\n\r\n{}", nil},
			{"HTTP/1.1 400 Bad Request\r\n\r\n" + refused, ErrConflict},
		} {
			t.Run(ending.Name+"/"+c.response[:len("HTTP/1.1 200")], func(t *testing.T) {
				server, err := rawserver.Start(func(conn *rawserver.Conn) { ending.Serve(conn, c.response) })
				require.NoError(t, err)
				defer server.Close()
				db := NewDynamoDB(ServiceSettings{Endpoint: "http://" + server.Address(), Region: "local", AccessKey: "a", SecretKey: "s"}, "rows")
				for range 2 {
					_, err = db.Put(t.Context(), Key{Partition: "p", Sort: "s"}, value, 0)
					var connect *net.OpError
					switch {
					case ending.Clean:
						require.ErrorIs(t, err, c.want)
						require.NotErrorIs(t, err, ErrUnknown)
					case ending.BeforeRequest && errors.As(err, &connect) && connect.Op == "dial":
						require.ErrorIs(t, err, ErrUnavailable) // reset before the request was written
					default:
						require.ErrorIs(t, err, ErrUnknown)
					}
				}
			})
		}
	}
}

// Guards against services with TLS that cannot be reached.
func TestListOverTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`[{"name":"i1","address":"127.0.0.1:1","region":"r","zone":"z"}]` + strings.Repeat(" ", 100<<10)))
	}))
	defer server.Close()
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	list := &HTTPInstanceList{url: server.URL, client: newHTTPClient(&tls.Config{RootCAs: roots})}
	for range 2 {
		records, err := list.List(t.Context())
		require.NoError(t, err)
		require.Len(t, records, 1)
	}
}
