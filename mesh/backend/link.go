package backend

// This file paces large answers to other nodes: they are sent one after the
// other, below the rate of the instance's link.

import (
	"context"
	"io"
	"net/http"
	"time"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/hop"
)

// maxPacedRead is the largest part of a paced answer that is sent at once, in
// bytes. Small answers wait for at most one part, 25 ms on a link of 5 Mbit/s.
const maxPacedRead = 16 << 10

// maxBufferedAnswers bounds the answers that are buffered at once, in bytes, and so the memory
// that backend servers that send large answers can take together with entry nodes that don't
// read them: a sixth of the smallest instances in use.
const maxBufferedAnswers = 32 << 20

// pace reserves time on the link for a large answer to another node and returns
// how long the answer waits for it. The answer is buffered whole, so that the
// backend server is free for the next call meanwhile; so is one of unknown
// size, to learn its size. Small answers, those above hop.MaxBufferedResponse and those
// for which there is no room are not paced. pace returns an error when the answer
// broke off.
func (g *Gate) pace(ctx context.Context, resp *http.Response, class string) (time.Duration, error) {
	sizeUnknown := resp.ContentLength < 0
	if sizeUnknown { // buffering the answer sets ContentLength
		if _, err := g.buffer(resp); err != nil {
			return 0, err
		}
	}
	size := resp.ContentLength
	sent := int64(0)
	if g.config.SentBytes != nil {
		sent = g.config.SentBytes()
	}
	g.mu.Lock()
	if size >= 0 {
		g.link.RecordSize(class, size)
	}
	g.link.RecordSent(sent, time.Now())
	g.mu.Unlock()
	if size < call.LargeResponseSize || size > hop.MaxBufferedResponse {
		return 0, nil
	}
	if !sizeUnknown {
		if ok, err := g.buffer(resp); !ok {
			return 0, err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	start, perByte := g.link.Reserve(size, now)
	resp.Body = &pacedBody{ReadCloser: resp.Body, ctx: ctx, start: start, perByte: perByte, remaining: size, gate: g}
	return start.Sub(now), nil
}

// buffer buffers an answer of up to hop.MaxBufferedResponse until it has been passed on. It
// returns false if there is no room for it or if the answer broke off, with the error.
func (g *Gate) buffer(resp *http.Response) (ok bool, err error) {
	held := resp.ContentLength
	if held < 0 {
		held = hop.MaxBufferedResponse
	}
	if g.buffered.Add(held) > maxBufferedAnswers {
		g.buffered.Add(-held)
		return false, nil
	}
	if err := hop.BufferResponse(resp, hop.MaxBufferedResponse); err != nil {
		g.buffered.Add(-held)
		return false, err
	}
	if resp.ContentLength >= 0 {
		g.buffered.Add(resp.ContentLength - held)
		held = resp.ContentLength
	}
	resp.Body = hop.OnDone(resp.Body, func(err error) error {
		g.buffered.Add(-held)
		return err
	})
	return true, nil
}

// pacedBody is a body that is read no faster than its reservation on the link
// allows.
type pacedBody struct {
	io.ReadCloser
	ctx       context.Context
	start     time.Time // of the reservation
	perByte   float64   // seconds
	sent      int64     // bytes
	remaining int64     // bytes reserved and not sent
	gate      *Gate
}

// Read waits until the next bytes may be sent, then reads at most maxPacedRead of
// them. It returns the context's error when the call ends first.
func (p *pacedBody) Read(into []byte) (int, error) {
	if len(into) > maxPacedRead {
		into = into[:maxPacedRead]
	}
	due := p.start.Add(time.Duration(float64(p.sent) * p.perByte * float64(time.Second)))
	if wait := time.Until(due); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-p.ctx.Done():
			return 0, p.ctx.Err()
		case <-timer.C:
		}
	}
	n, err := p.ReadCloser.Read(into)
	p.sent += int64(n)
	p.remaining -= int64(n)
	p.gate.mu.Lock()
	p.gate.link.RecordLargeSent(int64(n))
	p.gate.mu.Unlock()
	return n, err
}

// Close returns the unused part of the reservation to the link.
func (p *pacedBody) Close() error {
	p.gate.mu.Lock()
	p.gate.link.Unreserve(p.remaining)
	p.gate.mu.Unlock()
	p.remaining = 0
	return p.ReadCloser.Close()
}
