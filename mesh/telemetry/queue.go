package telemetry

// This file writes log lines in the background, so that a slow log does not
// delay the code that logs.

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// maxQueuedLines bounds the lines that wait to be written: one second of the
// highest rate that the limits on call messages allow.
const maxQueuedLines = 1024

// AsyncWriter is an io.Writer that never blocks. Lines wait in a bounded queue;
// when it is full, lines are dropped and counted. The next line that is written is
// followed by a line with the number of lines dropped before it.
type AsyncWriter struct {
	lines      chan []byte   // never closed, since other goroutines may write after Close
	unreported atomic.Int64  // dropped lines not yet reported in the log
	lost       tally.Counter // all dropped lines
	stop       chan struct{}
	done       chan struct{}
	stopOnce   sync.Once
}

// NewAsyncWriter returns an AsyncWriter that writes to w and counts dropped lines
// in lost. Close writes the lines that still wait.
func NewAsyncWriter(w io.Writer, lost tally.Counter) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), lost: lost, stop: make(chan struct{}), done: make(chan struct{})}
	go a.run(w)
	return a
}

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			a.write(w, line)
		case <-a.stop:
			for len(a.lines) > 0 {
				a.write(w, <-a.lines)
			}
			return
		}
	}
}

// write writes one line, followed by a report of the lines dropped since the
// last report, if any.
func (a *AsyncWriter) write(w io.Writer, line []byte) {
	_, _ = w.Write(line) // a failure to log cannot be logged
	if n := a.unreported.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w, `{"time":%q,"level":"WARN","msg":"log lines lost","lines":%d}`+"\n", time.Now().Format(time.RFC3339Nano), n)
	}
}

// Write implements io.Writer. It queues or drops one line and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.unreported.Add(1)
		a.lost.Inc(1)
	}
	return len(line), nil
}

// Close writes the lines that wait, for at most one second. Lines passed to Write
// after Close are lost.
func (a *AsyncWriter) Close() {
	a.stopOnce.Do(func() { close(a.stop) })
	select {
	case <-a.done:
	case <-time.After(time.Second):
	}
}
