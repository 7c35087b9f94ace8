package store_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/store"
)

// TestPublisherPausedPastRemoval guards against a stray revision: a publisher is
// paused right before it appends, until the revision with that number has been
// appended by another publisher and deleted. Its create then succeeds, but no node
// may accept the result, not even its own.
func TestPublisherPausedPastRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster()
		defer cl.close()
		cl.noReaders = true
		first := cl.start("n0", 0, 0)
		cl.noReaders = false
		second := cl.start("n1", 1, 0)
		cl.apply(second, service("a", "first", 0))
		time.Sleep(5 * time.Second)
		cl.hook("append", func(n *node) {
			n.pause()
			go cl.apply(second, service("b", "other", 0)) // so that the other publisher's revision differs
		})
		for i := range 5 * snapshots {
			cl.apply(second, service("a", fmt.Sprint("w", i), cl.version(record.KeyOf(service("a", "", 0)))))
			time.Sleep(time.Second)
		}
		require.True(t, cl.fired["append"])
		before := first.holder.Table().Number
		name := store.RevisionName(before + 1)
		_, kept := cl.store.Peek(store.KindRevision, name)
		require.False(t, kept, "revision %d was deleted", before+1)
		cl.hook("after append", func(n *node) {
			_, stray := cl.store.Peek(store.KindRevision, name)
			require.True(t, stray && n == first, "the stale create succeeded")
		})
		first.resume()
		cl.checkConvergence(t)
		require.True(t, cl.fired["after append"])
		require.Equal(t, second.holder.Table().Digest, first.holder.Table().Digest)
		cl.start("joiner", 9, 0)
		cl.checkConvergence(t)
	})
}
