package telemetry

// This file keeps log lines from delaying whoever writes them.

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// queueLines bounds the lines that wait to be written: a second of the most
// that the limits on calls let through.
const queueLines = 1024

// Queue is a writer that never blocks: lines wait in a bounded queue, and those
// beyond it are counted in place of written. A line with the count follows once
// there is room.
type Queue struct {
	lines   chan []byte   // never closed: parts that end late may still write
	dropped atomic.Int64  // since the last line that told of it
	lost    tally.Counter // all of them
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewQueue returns a queue in front of a writer, which counts the lines that are
// lost. Close writes what waits.
func NewQueue(w io.Writer, lost tally.Counter) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines), lost: lost, stop: make(chan struct{}), done: make(chan struct{})}
	go q.run(w)
	return q
}

func (q *Queue) run(w io.Writer) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.write(w, line)
		case <-q.stop:
			for len(q.lines) > 0 {
				q.write(w, <-q.lines)
			}
			return
		}
	}
}

// write writes one line, and how many were lost before it.
func (q *Queue) write(w io.Writer, line []byte) {
	_, _ = w.Write(line) // there is nowhere else to report to
	if n := q.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w, `{"time":%q,"level":"WARN","msg":"log lines lost","lines":%d}`+"\n", time.Now().Format(time.RFC3339Nano), n)
	}
}

// Write implements io.Writer. It takes one line and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
		q.lost.Inc(1)
	}
	return len(line), nil
}

// Close writes what waits, for a second at most. What is written after it is
// lost.
func (q *Queue) Close() {
	q.once.Do(func() { close(q.stop) })
	select {
	case <-q.done:
	case <-time.After(time.Second):
	}
}
