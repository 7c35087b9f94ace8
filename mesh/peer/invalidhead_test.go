package peer

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"caroblift.dev/mesh/hop"
	"caroblift.dev/wire"
)

// serveFields starts a node that answers the first request on each connection by the given
// header fields, and returns its address.
func serveFields(t *testing.T, fields ...hpack.HeaderField) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for _, f := range fields {
		require.NoError(t, encoder.WriteField(f))
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answerFields(conn, block.Bytes())
		}
	}()
	return l.Addr().String()
}

func answerFields(conn net.Conn, block []byte) {
	defer conn.Close()
	framer := http2.NewFramer(conn, conn)
	if _, err := io.ReadFull(conn, make([]byte, len(http2.ClientPreface))); err != nil || framer.WriteSettings() != nil {
		return
	}
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		if _, ok := frame.(*http2.HeadersFrame); !ok {
			continue
		}
		err = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: frame.Header().StreamID, BlockFragment: block, EndHeaders: true, EndStream: true})
		if err != nil {
			return
		}
	}
}

// TestInvalidAnswerOfNode guards against passing on an answer of another node that no caller could be sent.
func TestInvalidAnswerOfNode(t *testing.T) {
	status := func(value string) hpack.HeaderField { return hpack.HeaderField{Name: ":status", Value: value} }
	for name, c := range map[string]struct {
		fields []hpack.HeaderField
		valid  bool
	}{
		"valid":             {[]hpack.HeaderField{status("200"), {Name: "odd", Value: "1"}}, true},
		"status 000":        {[]hpack.HeaderField{status("000")}, false},
		"status 42":         {[]hpack.HeaderField{status("42")}, false},
		"status 999":        {[]hpack.HeaderField{status("999")}, false},
		"blank in a name":   {[]hpack.HeaderField{status("200"), {Name: "o dd", Value: "1"}}, false},
		"control in a name": {[]hpack.HeaderField{status("200"), {Name: "o\x01dd", Value: "1"}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			address := serveFields(t, append(c.fields, hpack.HeaderField{Name: "content-type", Value: "application/proto"})...)
			pool := NewPool(PoolConfig{PingTimeout: time.Second})
			defer pool.Close()
			_, err := pool.Client(address).Fetch(t.Context(), connect.NewRequest(&wire.FetchRequest{}))
			require.Equal(t, c.valid, err == nil, "a control message: %v", err)
			transport := hop.Transport{Transport: NewTransport(time.Second, new(ByteCounter))}
			defer transport.CloseIdleConnections()
			req, err := http.NewRequest(http.MethodGet, "http://"+address+"/", http.NoBody)
			require.NoError(t, err)
			resp, err := transport.RoundTrip(req)
			if !c.valid {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
		})
	}
}
