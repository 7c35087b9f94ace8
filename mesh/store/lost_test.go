package store_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/store"
	"caroblift.dev/mesh/storetest"
	"caroblift.dev/wire"
)

// TestLostAnswer loses the answer to an operator's write, lets others act
// before the operator's node reads back, and compares what the operator is told
// with what took effect.
func TestLostAnswer(t *testing.T) {
	key := record.KeyOf(service("a", "", 0))
	rivals := func(n int) func(*world) {
		return func(w *world) {
			w.store.Set(storetest.Faults{})
			for i := range n {
				w.apply(w.nodes[1], service("a", fmt.Sprint("rival", i), w.version(key)))
			}
		}
	}
	for name, c := range map[string]struct {
		faults           storetest.Faults
		after            func(*world) // before the read back
		written, refused bool
		times            int // that the write takes effect
		stale            bool
	}{
		"written over since":          {faults: storetest.Faults{Lose: true}, after: rivals(1), written: true, times: 1},
		"written over often":          {faults: storetest.Faults{Lose: true}, after: rivals(20), times: 1},
		"never arrived, others wrote": {faults: storetest.Faults{Drop: true}, after: rivals(1), refused: true},
		"never arrived":               {faults: storetest.Faults{Drop: true}, after: rivals(0), written: true, times: 1},
		"arrives late":                {faults: storetest.Faults{Late: time.Second}, after: rivals(0), written: true, times: 1},
		"arrives twice":               {faults: storetest.Faults{Twice: true}, after: rivals(1), written: true, times: 1},
		"stale reads after it":        {faults: storetest.Faults{Lose: true}, after: func(*world) {}, times: 1, stale: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld()
				defer w.close()
				for i := range 2 {
					w.start(fmt.Sprint("n", i), i, 0)
				}
				w.apply(w.nodes[1], service("a", "first", 0))
				f := c.faults
				f.Stale = c.stale
				w.hook("record write", func(*node) { w.store.Set(f) })
				w.hook("after record write", func(*node) { c.after(w) })
				o := w.apply(w.nodes[0], service("a", "mine", w.version(key)))
				w.store.Set(storetest.Faults{})
				time.Sleep(5 * time.Second)
				require.Equal(t, c.written, o.written, "told that it was written")
				require.Equal(t, c.refused, o.refused, "told that it was not")
				require.Equal(t, c.times, w.writes["mine"])
				w.end(t)
			})
		})
	}
}

// hookStore runs a hook once, after its first get was answered.
type hookStore struct {
	store.Store
	hook func()
}

func (s *hookStore) Get(ctx context.Context, kind, name string) (store.Object, error) {
	o, err := s.Store.Get(ctx, kind, name)
	if hook := s.hook; hook != nil {
		s.hook = nil
		hook()
	}
	return o, err
}

// TestLoadAcrossSnapshot writes the next snapshot while a slow reader holds the
// pointer to the one before: all that the reader knows of is still there.
func TestLoadAcrossSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer w.close()
		n := w.start("n0", 0, 0)
		key := record.KeyOf(service("a", "", 0))
		change := func(until uint64) {
			for n.holder.Table().Number < until {
				w.apply(n, service("a", fmt.Sprint("w", n.holder.Table().Number), w.version(key)))
				time.Sleep(5 * time.Second)
			}
		}
		change(4*snapshots + 1)
		slow := w.start("slow", 9, 0)
		slow.pause()
		hooked := &hookStore{Store: w.store, hook: func() { change(5*snapshots + 1) }}
		reader := store.NewReader(store.ReaderConfig{
			Store: hooked, Poll: hooked, Active: func() bool { return false }, Holder: slow.holder,
			Deliver: func(u *wire.Update) { _ = slow.holder.Apply(u) },
		})
		require.NoError(t, reader.Load(t.Context()))
		require.Equal(t, n.holder.Table().Digest, slow.holder.Table().Digest)
	})
}
