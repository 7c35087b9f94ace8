package peer

// This file compresses large messages between nodes with zstd.

import (
	"bytes"
	"io"

	"connectrpc.com/connect"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// Bounds of compression, in bytes.
const (
	compressMin = 256     // smaller messages are sent as they are
	maxMessage  = 8 << 20 // larger messages are refused
)

// compression is the name of the encoding in HTTP headers.
const compression = "zstd"

// One encoder and one decoder serve the whole process, so that memory does not
// grow with the number of peers.
var (
	encoder = must(zstd.NewWriter(nil, zstd.WithEncoderConcurrency(2), zstd.WithWindowSize(1<<18), zstd.WithLowerEncoderMem(true)))
	decoder = must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(2), zstd.WithDecoderMaxMemory(maxMessage), zstd.WithDecoderLowmem(true)))
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options are constant
	}
	return v
}

// compressor implements connect.Compressor.
type compressor struct {
	buffer bytes.Buffer
	to     io.Writer
}

func (c *compressor) Write(p []byte) (int, error) { return c.buffer.Write(p) }

func (c *compressor) Reset(w io.Writer) {
	c.buffer.Reset()
	c.to = w
}

func (c *compressor) Close() error {
	_, err := c.to.Write(encoder.EncodeAll(c.buffer.Bytes(), nil))
	return errors.Wrap(err, "compress message")
}

// decompressor implements connect.Decompressor.
type decompressor struct {
	bytes.Reader
}

func (d *decompressor) Reset(r io.Reader) error {
	packed, err := io.ReadAll(io.LimitReader(r, maxMessage))
	if err != nil {
		return errors.Wrap(err, "read compressed message")
	}
	plain, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return errors.Wrap(err, "decompress message")
	}
	d.Reader.Reset(plain)
	return nil
}

func (d *decompressor) Close() error { return nil }

func newCompressor() connect.Compressor     { return &compressor{to: io.Discard} }
func newDecompressor() connect.Decompressor { return &decompressor{} }

// compressClient lets a client send and accept compressed messages.
func compressClient() connect.ClientOption {
	return connect.WithClientOptions(
		connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithAcceptCompression(compression, newDecompressor, newCompressor),
		connect.WithSendCompression(compression), connect.WithCompressMinBytes(compressMin),
		connect.WithReadMaxBytes(maxMessage),
	)
}

// HandlerOptions let a Peer handler take and send compressed messages.
func HandlerOptions() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithCompression(compression, newDecompressor, newCompressor),
		connect.WithCompressMinBytes(compressMin), connect.WithReadMaxBytes(maxMessage),
	)
}
