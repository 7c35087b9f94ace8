package backend

// This file sends large answers to other nodes one after the other, below the
// rate of the instance's link.

import (
	"context"
	"io"
	"net/http"
	"time"

	"caroblift.dev/mesh/call"
	"caroblift.dev/mesh/hop"
)

// pacedPiece is what is sent at once, in bytes: small answers wait for one at
// most, 25 ms on a link of 5 Mbit/s.
const pacedPiece = 16 << 10

// turn reads a large answer to another node whole, or one of unknown size, gives
// it its turn on the link and returns how long it waits for that; the backend
// server is free for the next call meanwhile. Answers beyond hop.MaxWhole pass
// at once. It returns an error when the answer broke off.
func (g *Gate) turn(ctx context.Context, resp *http.Response, class string) (time.Duration, error) {
	unknown := resp.ContentLength < 0
	if unknown { // its size is known only once it was read
		if err := hop.Whole(resp, hop.MaxWhole); err != nil {
			return 0, err
		}
	}
	size := resp.ContentLength
	sent := int64(0)
	if g.config.Sent != nil {
		sent = g.config.Sent()
	}
	g.mu.Lock()
	if size >= 0 {
		g.link.Learn(class, size)
	}
	g.link.Sent(sent, time.Now())
	g.mu.Unlock()
	if size < call.LargeAnswer || size > hop.MaxWhole {
		return 0, nil
	}
	if !unknown {
		if err := hop.Whole(resp, hop.MaxWhole); err != nil {
			return 0, err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	start, each := g.link.Reserve(size, now)
	resp.Body = &paced{ReadCloser: resp.Body, ctx: ctx, start: start, each: each, left: size, gate: g}
	return start.Sub(now), nil
}

// paced is a body that is read no sooner than its turn on the link allows.
type paced struct {
	io.ReadCloser
	ctx   context.Context
	start time.Time // of the turn
	each  float64   // seconds that one byte takes
	sent  int64
	left  int64
	gate  *Gate
}

// Read waits until the next piece may be sent. It fails when the call ends
// first.
func (p *paced) Read(into []byte) (int, error) {
	if len(into) > pacedPiece {
		into = into[:pacedPiece]
	}
	due := p.start.Add(time.Duration(float64(p.sent) * p.each * float64(time.Second)))
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
	p.left -= int64(n)
	p.gate.mu.Lock()
	p.gate.link.Gone(int64(n))
	p.gate.mu.Unlock()
	return n, err
}

// Close gives back what is left of the turn.
func (p *paced) Close() error {
	p.gate.mu.Lock()
	p.gate.link.Return(p.left)
	p.gate.mu.Unlock()
	p.left = 0
	return p.ReadCloser.Close()
}
