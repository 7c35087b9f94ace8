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

// TestLostResponse guards against a wrong result for an operator whose write
// received no response. Other operators write before the operator's node reads the
// record back; then the reported result is compared with the writes that took
// effect.
func TestLostResponse(t *testing.T) {
	key := record.KeyOf(service("a", "", 0))
	rivals := func(n int) func(*cluster) {
		return func(cl *cluster) {
			cl.store.SetFaults(storetest.Faults{})
			for i := range n {
				cl.apply(cl.nodes[1], service("a", fmt.Sprint("rival", i), cl.version(key)))
			}
		}
	}
	for name, c := range map[string]struct {
		faults           storetest.Faults
		after            func(*cluster) // runs before the record is read back
		written, refused bool
		times            int // how often the write takes effect
		stale            bool
	}{
		"written over since":          {faults: storetest.Faults{LoseResponses: true}, after: rivals(1), written: true, times: 1},
		"written over often":          {faults: storetest.Faults{LoseResponses: true}, after: rivals(20), times: 1},
		"never arrived, others wrote": {faults: storetest.Faults{DropWrites: true}, after: rivals(1), refused: true},
		"never arrived":               {faults: storetest.Faults{DropWrites: true}, after: rivals(0), written: true, times: 1},
		"arrives late":                {faults: storetest.Faults{DelayWrites: time.Second}, after: rivals(0), written: true, times: 1},
		"arrives twice":               {faults: storetest.Faults{DuplicateWrites: true}, after: rivals(1), written: true, times: 1},
		"stale reads after it":        {faults: storetest.Faults{LoseResponses: true}, after: func(*cluster) {}, times: 1, stale: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster()
				defer cl.close()
				for i := range 2 {
					cl.start(fmt.Sprint("n", i), i, 0)
				}
				cl.apply(cl.nodes[1], service("a", "first", 0))
				f := c.faults
				f.StaleReads = c.stale
				cl.hook("record write", func(*node) { cl.store.SetFaults(f) })
				cl.hook("after record write", func(*node) { c.after(cl) })
				o := cl.apply(cl.nodes[0], service("a", "mine", cl.version(key)))
				cl.store.SetFaults(storetest.Faults{})
				time.Sleep(5 * time.Second)
				require.Equal(t, c.written, o.written, "reported as written")
				require.Equal(t, c.refused, o.refused, "reported as refused")
				require.Equal(t, c.times, cl.writeCount["mine"])
				cl.checkConvergence(t)
			})
		})
	}
}

// hookStore runs a hook once, after its first Get.
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

// TestLoadAcrossSnapshot guards against the deletion of objects that a slow reader
// still needs: the next snapshot is written while the reader holds the pointer to
// the previous one.
func TestLoadAcrossSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster()
		defer cl.close()
		n := cl.start("n0", 0, 0)
		key := record.KeyOf(service("a", "", 0))
		change := func(until uint64) {
			for n.holder.Table().Number < until {
				cl.apply(n, service("a", fmt.Sprint("w", n.holder.Table().Number), cl.version(key)))
				time.Sleep(5 * time.Second)
			}
		}
		change(4*snapshots + 1)
		slow := cl.start("slow", 9, 0)
		slow.pause()
		hooked := &hookStore{Store: cl.store, hook: func() { change(5*snapshots + 1) }}
		reader := store.NewReader(store.ReaderConfig{
			Store: hooked, PollStore: hooked, Active: func() bool { return false }, Holder: slow.holder,
			Deliver: func(u *wire.Update) { _ = slow.holder.Apply(u) },
		})
		require.NoError(t, reader.Load(t.Context()))
		require.Equal(t, n.holder.Table().Digest, slow.holder.Table().Digest)
	})
}
