package peer

// This file compresses large messages between nodes with zstd.

import (
	"bytes"
	"io"

	"connectrpc.com/connect"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// Message sizes in bytes.
const (
	minCompressSize = 256     // smaller messages are sent uncompressed
	maxMessageSize  = 8 << 20 // larger messages are refused
)

// contentEncoding is the name of the encoding in HTTP headers.
const contentEncoding = "zstd"

// The process shares one encoder and one decoder, so that memory use does not
// grow with the number of peers.
var (
	encoder = must(zstd.NewWriter(nil, zstd.WithEncoderConcurrency(2), zstd.WithWindowSize(1<<18), zstd.WithLowerEncoderMem(true)))
	decoder = must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(2), zstd.WithDecoderMaxMemory(maxMessageSize), zstd.WithDecoderLowmem(true)))
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options are constants, so an error is a bug
	}
	return v
}

// compressor implements connect.Compressor. It buffers the message and compresses
// it on Close.
type compressor struct {
	buffer bytes.Buffer
	dst    io.Writer
}

func (c *compressor) Write(p []byte) (int, error) { return c.buffer.Write(p) }

func (c *compressor) Reset(w io.Writer) {
	c.buffer.Reset()
	c.dst = w
}

func (c *compressor) Close() error {
	_, err := c.dst.Write(encoder.EncodeAll(c.buffer.Bytes(), nil))
	return errors.Wrap(err, "compress message")
}

// decompressor implements connect.Decompressor. Reset decompresses the whole
// message; Read returns the plain bytes.
type decompressor struct {
	bytes.Reader
}

func (d *decompressor) Reset(r io.Reader) error {
	compressed, err := io.ReadAll(io.LimitReader(r, maxMessageSize))
	if err != nil {
		return errors.Wrap(err, "read compressed message")
	}
	message, err := decoder.DecodeAll(compressed, nil)
	if err != nil {
		return errors.Wrap(err, "decompress message")
	}
	d.Reader.Reset(message)
	return nil
}

func (d *decompressor) Close() error { return nil }

func newCompressor() connect.Compressor     { return &compressor{dst: io.Discard} }
func newDecompressor() connect.Decompressor { return &decompressor{} }

// clientCompression returns the options of a client that sends and accepts
// messages compressed with zstd instead of gzip.
func clientCompression() connect.ClientOption {
	return connect.WithClientOptions(
		connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithAcceptCompression(contentEncoding, newDecompressor, newCompressor),
		connect.WithSendCompression(contentEncoding), connect.WithCompressMinBytes(minCompressSize),
		connect.WithReadMaxBytes(maxMessageSize),
	)
}

// HandlerOptions returns the options of a Peer handler that accepts and sends
// compressed messages and refuses messages over the size limit.
func HandlerOptions() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithCompression(contentEncoding, newDecompressor, newCompressor),
		connect.WithCompressMinBytes(minCompressSize), connect.WithReadMaxBytes(maxMessageSize),
	)
}
