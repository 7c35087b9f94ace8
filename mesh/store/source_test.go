package store_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/store"
	"caroblift.dev/mesh/storetest"
	"caroblift.dev/wire"
)

// followed is a source that follows an object, and the versions it handed over.
type followed struct {
	platform *storetest.Store
	watch    *storetest.Conn
	source   *store.Source
	got      []uint64
	object   store.Object
	news     chan struct{}
	peers    uint64 // newest version that peers hold
}

// watchWait is how long a watch waits.
const watchWait = 2500 * time.Millisecond

// newFollowed starts a source in the bubble of a test.
func newFollowed(t *testing.T) *followed {
	f := &followed{platform: storetest.New(), news: make(chan struct{}, 1)}
	f.watch = f.platform.Conn(500 * time.Millisecond)
	f.source = store.NewSource(store.SourceConfig{
		Store: f.watch, Poll: f.platform.Conn(500 * time.Millisecond), Active: func() bool { return true }, Wait: func() time.Duration { return watchWait },
		News: f.news, Behind: func() bool { return f.peers > f.last() },
		Place: store.Place{Kind: "setup", Name: "whole", Decode: func(o store.Object) (*wire.Snapshot, error) {
			number, err := strconv.ParseUint(string(o.Body), 10, 64)
			return &wire.Snapshot{Number: number}, errors.Wrap(err, "body")
		}},
		Deliver: func(s *wire.Snapshot) error {
			f.got = append(f.got, s.GetNumber())
			return nil
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- f.source.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return f
}

// write replaces the object by one that holds a number.
func (f *followed) write(t *testing.T, body string) {
	var err error
	if f.object.Version == 0 {
		f.object, err = f.platform.Create(t.Context(), "setup", "whole", []byte(body))
	} else {
		f.object, err = f.platform.Update(t.Context(), "setup", "whole", f.object.Version, []byte(body))
	}
	require.NoError(t, err)
}

func (f *followed) last() uint64 {
	if len(f.got) == 0 {
		return 0
	}
	return f.got[len(f.got)-1]
}

// TestSourceFollows hands over each change within the bound for
// configurations, whatever befalls its watch, and in order.
func TestSourceFollows(t *testing.T) {
	const bound = 2 * time.Second // that the users ask for, from the write to its effect
	for name, c := range map[string]struct {
		fault func(f *followed)
		more  time.Duration // that the fault may add: until a silent watch is noticed, and looked beside
	}{
		"nothing":             {fault: func(*followed) {}},
		"history dropped":     {fault: func(f *followed) { f.platform.Forget() }},
		"watch hears nothing": {fault: func(f *followed) { f.platform.Set(storetest.Faults{Silent: true}) }, more: 3 * watchWait},
		"connection silent":   {fault: func(f *followed) { f.watch.Silence() }, more: watchWait},
		"events again":        {fault: func(f *followed) { f.platform.Set(storetest.Faults{Mixed: true}) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFollowed(t)
				time.Sleep(time.Second)
				f.write(t, "3")
				time.Sleep(bound)
				require.Equal(t, []uint64{3}, f.got, "an object that is written after the start")
				f.write(t, "5")
				f.write(t, "8")
				time.Sleep(bound)
				require.EqualValues(t, 8, f.last())
				c.fault(f)
				f.write(t, "13")
				time.Sleep(bound + c.more)
				require.EqualValues(t, 13, f.last())
				require.IsIncreasing(t, f.got)
			})
		})
	}
}

// TestSourceHearsOfPeers reads beside a watch that hears nothing as soon as a
// peer holds a newer version, and not while the watch is merely a little later
// than the peer's.
func TestSourceHearsOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollowed(t)
		f.write(t, "3")
		time.Sleep(time.Second)
		hear := func(number uint64) {
			f.peers = number
			f.news <- struct{}{}
		}
		before := f.platform.Calls()["get"]
		hear(5)
		time.Sleep(100 * time.Millisecond)
		f.write(t, "5")
		time.Sleep(time.Second)
		require.EqualValues(t, 5, f.last())
		require.Equal(t, before, f.platform.Calls()["get"], "the watch told of it")
		f.platform.Set(storetest.Faults{Silent: true})
		f.write(t, "8")
		time.Sleep(200 * time.Millisecond)
		require.EqualValues(t, 5, f.last())
		hear(8)
		time.Sleep(500 * time.Millisecond)
		require.EqualValues(t, 8, f.last())
	})
}

// TestSourceReadsSeldom counts the reads of an object that does not change: one
// at the start and one for some quiet watches, also while other objects change,
// and none because a watch is cut.
func TestSourceReadsSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollowed(t)
		f.write(t, "3")
		time.Sleep(time.Second)
		before := f.platform.Calls()["get"]
		for n := range 20 {
			_, err := f.platform.Create(t.Context(), "other", strconv.Itoa(n), nil)
			require.NoError(t, err)
			time.Sleep(3 * watchWait / 20)
		}
		require.LessOrEqual(t, f.platform.Calls()["get"], before+1)
		before = f.platform.Calls()["get"]
		f.platform.Set(storetest.Faults{Down: true})
		time.Sleep(time.Second)
		f.platform.Set(storetest.Faults{})
		f.write(t, "5")
		time.Sleep(2 * time.Second)
		require.EqualValues(t, 5, f.last())
		require.LessOrEqual(t, f.platform.Calls()["get"], before+1)
	})
}

// TestSourceStorm changes the object much more often than it is worth reading:
// it is read about once in each rest, the last change is in force within the
// bound, and the watch goes on afterwards.
func TestSourceStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollowed(t)
		f.platform.Set(storetest.Faults{Each: true})
		f.write(t, "1")
		time.Sleep(3 * time.Second)
		before := f.platform.Calls()
		const changes, gap = 100, 100 * time.Millisecond
		for n := range changes {
			f.write(t, strconv.Itoa(2+n))
			time.Sleep(gap)
		}
		after := f.platform.Calls()
		reads := after["get"] + after["watch"] - before["get"] - before["watch"]
		require.LessOrEqual(t, reads, uint64(changes*gap/(300*time.Millisecond))+5)
		require.LessOrEqual(t, after["watch"]-before["watch"], uint64(5), "each watch brings all changes in between")
		time.Sleep(2 * time.Second)
		require.EqualValues(t, changes+1, f.last())
		require.IsIncreasing(t, f.got)
		f.write(t, "500")
		time.Sleep(time.Second)
		require.EqualValues(t, 500, f.last())
	})
}

// TestSourceOutage calls a store that is away seldom, and is up to date soon
// after it is back.
func TestSourceOutage(t *testing.T) {
	for name, faults := range map[string]storetest.Faults{
		"down": {Down: true},
		"slow": {Slow: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFollowed(t)
				f.write(t, "3")
				time.Sleep(3 * time.Second)
				require.True(t, f.source.Working())
				f.platform.Set(faults)
				before := f.platform.Calls()
				const outage = 10 * time.Minute
				time.Sleep(outage)
				after := f.platform.Calls()
				calls := after["get"] + after["watch"] - before["get"] - before["watch"]
				require.LessOrEqual(t, calls, uint64(2*outage/time.Second))
				require.False(t, f.source.Working())
				f.platform.Set(storetest.Faults{})
				f.write(t, "5")
				time.Sleep(2 * time.Second)
				require.EqualValues(t, 5, f.last())
				require.True(t, f.source.Working())
			})
		})
	}
}

// TestSourceSkipsWhatItCannotRead keeps following after an object that holds
// no configuration.
func TestSourceSkipsWhatItCannotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollowed(t)
		f.write(t, "3")
		time.Sleep(time.Second)
		f.write(t, "no number")
		time.Sleep(time.Second)
		f.write(t, "5")
		time.Sleep(time.Second)
		require.Equal(t, []uint64{3, 5}, f.got)
	})
}
