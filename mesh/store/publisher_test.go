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

// TestPublisherPausedPastRemoval pauses a publisher right before it appends,
// until the number that it appends under was removed. Its create succeeds, and
// nobody may take it for accepted, the publisher's own node included.
func TestPublisherPausedPastRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer w.close()
		w.noReaders = true
		first := w.start("n0", 0, 0)
		w.noReaders = false
		second := w.start("n1", 1, 0)
		w.apply(second, service("a", "first", 0))
		time.Sleep(5 * time.Second)
		w.hook("append", func(n *node) {
			n.pause()
			go w.apply(second, service("b", "other", 0)) // the other publisher's revision holds more
		})
		for i := range 5 * snapshots {
			w.apply(second, service("a", fmt.Sprint("w", i), w.version(record.KeyOf(service("a", "", 0)))))
			time.Sleep(time.Second)
		}
		require.True(t, w.fired["append"])
		before := first.holder.Table().Number
		name := store.RevisionName(before + 1)
		_, kept := w.store.Peek(store.KindRevision, name)
		require.False(t, kept, "revision %d was removed", before+1)
		w.hook("after append", func(n *node) {
			_, stray := w.store.Peek(store.KindRevision, name)
			require.True(t, stray && n == first, "the stale create succeeded")
		})
		first.resume()
		w.end(t)
		require.True(t, w.fired["after append"])
		require.Equal(t, second.holder.Table().Digest, first.holder.Table().Digest)
		w.start("joiner", 9, 0)
		w.end(t)
	})
}
