package http1_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/basilloom/basilloom/internal/http1"
	"github.com/basilloom/basilloom/internal/standin/rawserver"
)

// readConn is a connection whose reads come from a reader.
type readConn struct {
	net.Conn
	reader io.Reader
}

func (c readConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// pieces are ways to divide the bytes of a connection into reads.
var pieces = map[string]func(io.Reader) io.Reader{
	"whole": func(r io.Reader) io.Reader { return r }, "single bytes": iotest.OneByteReader, "halves": iotest.HalfReader,
}

// readResponse reads the final response on a connection and its body as net/http does.
func readResponse(reader io.Reader) (string, error) {
	local, remote := net.Pipe()
	defer func() { _, _ = local.Close(), remote.Close() }()
	buffered := bufio.NewReader(http1.NewConn(readConn{Conn: local, reader: reader}))
	for {
		response, err := http.ReadResponse(buffered, nil)
		if err != nil {
			return "", err
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || response.StatusCode >= http.StatusOK {
			return string(body), err
		}
	}
}

// Guards against a result that depends on how a response arrives.
func TestResponsesInPieces(t *testing.T) {
	const fields = "A: b\r\n"
	for name, divide := range pieces {
		for _, broken := range append(append(rawserver.BrokenStatuses, rawserver.BrokenFields...), rawserver.BrokenFraming...) {
			t.Run(name+"/"+broken.Name, func(t *testing.T) {
				_, err := readResponse(divide(strings.NewReader(broken.With(fields))))
				require.Error(t, err)
			})
		}
		for _, sound := range rawserver.Sound {
			t.Run(name+"/"+sound.Name, func(t *testing.T) {
				body, err := readResponse(divide(strings.NewReader(sound.With(fields))))
				require.NoError(t, err)
				require.Equal(t, rawserver.SoundBody, body)
			})
		}
	}
}

// Guards against an error that names another part of the response than the broken one.
func TestErrorNamesTheBrokenPart(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	for text, want := range map[string]http1.MalformedError{
		"HTTP/1.1 000 Trouble\r\n\r\n":     {Part: "status line", Line: "HTTP/1.1 000 Trouble", Cause: "unknown class of status"},
		head + "Bad Name: x\r\n\r\n":       {Part: "header", Line: "Bad Name: x", Cause: "field name is not a token"},
		head + "Content-Length: 1\r\n\r\n": {Part: "header", Line: "", Cause: "both a length and a transfer coding"},
		head + "\r\nx\r\n":                 {Part: "chunk size", Line: "x", Cause: "chunk size is not a number"},
	} {
		_, err := readResponse(strings.NewReader(text))
		var malformed *http1.MalformedError
		require.ErrorAs(t, err, &malformed, text)
		require.Equal(t, want, *malformed)
	}
}

// Guards against a line without end that is kept in memory.
func TestLongLine(t *testing.T) {
	for name, divide := range pieces {
		if name == "single bytes" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			const most = http.DefaultMaxHeaderBytes
			head := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nA: "
			body, err := readResponse(divide(strings.NewReader(head + strings.Repeat("x", most-10) + "\r\n\r\n")))
			require.NoError(t, err)
			require.Empty(t, body)
			endless := &countingReader{reader: io.MultiReader(strings.NewReader(head), endlessReader{})}
			_, err = readResponse(divide(endless))
			require.ErrorContains(t, err, "line of more than")
			require.Less(t, endless.n, 2*most)
		})
	}
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

type countingReader struct {
	reader io.Reader
	n      int
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.n += n
	return n, err
}
