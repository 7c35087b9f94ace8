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

// sourceTest is a source that follows one object, and the versions that it has
// delivered.
type sourceTest struct {
	platform  *storetest.Store
	watch     *storetest.Conn
	source    *store.Source
	delivered []uint64
	object    store.Object
	news      chan struct{}
	peers     uint64 // newest version held by a peer
}

// watchWait is the longest duration of a watch.
const watchWait = 2500 * time.Millisecond

// newSourceTest starts a source. It must be called in a synctest bubble.
func newSourceTest(t *testing.T) *sourceTest {
	f := &sourceTest{platform: storetest.New(), news: make(chan struct{}, 1)}
	f.watch = f.platform.Conn(500 * time.Millisecond)
	f.source = store.NewSource(store.SourceConfig{
		Store: f.watch, ReadStore: f.platform.Conn(500 * time.Millisecond), Active: func() bool { return true }, WatchTimeout: func() time.Duration { return watchWait },
		PeerUpdates: f.news, PeersAhead: func() bool { return f.peers > f.last() },
		Object: store.ConfigObject{Kind: "setup", Name: "whole", Decode: func(o store.Object) (*wire.Snapshot, error) {
			number, err := strconv.ParseUint(string(o.Body), 10, 64)
			return &wire.Snapshot{Number: number}, errors.Wrap(err, "body")
		}},
		Deliver: func(s *wire.Snapshot, _ store.Version) error {
			f.delivered = append(f.delivered, s.GetNumber())
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

// write creates the object or replaces its body.
func (f *sourceTest) write(t *testing.T, body string) {
	var err error
	if f.object.Version.IsZero() {
		f.object, err = f.platform.Create(t.Context(), "setup", "whole", []byte(body))
	} else {
		f.object, err = f.platform.Update(t.Context(), "setup", "whole", f.object.Version, []byte(body))
	}
	require.NoError(t, err)
}

// last returns the number that was delivered last, or 0.
func (f *sourceTest) last() uint64 {
	if len(f.delivered) == 0 {
		return 0
	}
	return f.delivered[len(f.delivered)-1]
}

// TestSourceNamesWhatItRefused guards against an object that stays without effect and that nothing but the log names.
func TestSourceNamesWhatItRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSourceTest(t)
		f.write(t, "1")
		time.Sleep(5 * time.Second)
		require.Nil(t, f.source.Refused())
		f.write(t, "1.5")
		time.Sleep(5 * time.Second)
		require.Equal(t, f.object.Version.Revision, f.source.Refused().GetRevision())
		require.Contains(t, f.source.Refused().GetError(), "body")
		require.Equal(t, []uint64{1}, f.delivered)
		f.write(t, "2")
		time.Sleep(5 * time.Second)
		require.Nil(t, f.source.Refused())
		require.Equal(t, []uint64{1, 2}, f.delivered)
	})
}

// TestSourceFollows checks that each change is delivered in order and within the
// bound for configurations, also when the watch fails or stops silently.
func TestSourceFollows(t *testing.T) {
	const bound = 2 * time.Second // required time from a write to its delivery
	for name, c := range map[string]struct {
		fault func(f *sourceTest)
		extra time.Duration // allowed until a silent watch is noticed and the object read
	}{
		"nothing":             {fault: func(*sourceTest) {}},
		"history dropped":     {fault: func(f *sourceTest) { f.platform.DropHistory() }},
		"watch hears nothing": {fault: func(f *sourceTest) { f.platform.SetFaults(storetest.Faults{SilentWatches: true}) }, extra: 3 * watchWait},
		"connection silent":   {fault: func(f *sourceTest) { f.watch.Silence() }, extra: watchWait},
		"events again":        {fault: func(f *sourceTest) { f.platform.SetFaults(storetest.Faults{ReorderEvents: true}) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSourceTest(t)
				time.Sleep(time.Second)
				f.write(t, "3")
				time.Sleep(bound)
				require.Equal(t, []uint64{3}, f.delivered, "an object that is written after the start")
				f.write(t, "5")
				f.write(t, "8")
				time.Sleep(bound)
				require.EqualValues(t, 8, f.last())
				c.fault(f)
				f.write(t, "13")
				time.Sleep(bound + c.extra)
				require.EqualValues(t, 13, f.last())
				require.IsIncreasing(t, f.delivered)
			})
		})
	}
}

// TestSourceReadsWhenPeerIsAhead checks that the object is read on another
// connection when a peer holds a newer version and the watch returns nothing, but
// not when the watch only returns slightly later than the peer's.
func TestSourceReadsWhenPeerIsAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSourceTest(t)
		f.write(t, "3")
		time.Sleep(time.Second)
		announce := func(number uint64) {
			f.peers = number
			f.news <- struct{}{}
		}
		before := f.platform.Calls()["get"]
		announce(5)
		time.Sleep(100 * time.Millisecond)
		f.write(t, "5")
		time.Sleep(time.Second)
		require.EqualValues(t, 5, f.last())
		require.Equal(t, before, f.platform.Calls()["get"], "the watch returned the change")
		f.platform.SetFaults(storetest.Faults{SilentWatches: true})
		f.write(t, "8")
		time.Sleep(200 * time.Millisecond)
		require.EqualValues(t, 5, f.last())
		announce(8)
		time.Sleep(500 * time.Millisecond)
		require.EqualValues(t, 8, f.last())
	})
}

// TestSourceReadsSeldom guards against needless reads of an unchanged object: one at
// the start and one for several watches without a change are allowed, also while
// other objects change, and none because a watch was cut.
func TestSourceReadsSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSourceTest(t)
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
		f.platform.SetFaults(storetest.Faults{Down: true})
		time.Sleep(time.Second)
		f.platform.SetFaults(storetest.Faults{})
		f.write(t, "5")
		time.Sleep(2 * time.Second)
		require.EqualValues(t, 5, f.last())
		require.LessOrEqual(t, f.platform.Calls()["get"], before+1)
	})
}

// TestSourceReadsSeldomWithoutHistory guards against reads and watches without a pause, where the store has dropped the
// history since the object changed, and other objects have changed since.
func TestSourceReadsSeldomWithoutHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSourceTest(t)
		f.write(t, "3")
		time.Sleep(time.Second)
		_, err := f.platform.Create(t.Context(), "other", "0", nil)
		require.NoError(t, err)
		f.platform.DropHistory()
		time.Sleep(time.Second)
		calls := func() (n uint64) {
			for _, count := range f.platform.Calls() {
				n += count
			}
			return n
		}
		before := calls()
		time.Sleep(4 * watchWait)
		require.LessOrEqual(t, calls()-before, uint64(8), "a watch and a read each time that a watch ends")
		f.write(t, "5")
		time.Sleep(2 * time.Second)
		require.EqualValues(t, 5, f.last())
	})
}

// TestSourceRapidChanges checks that changes in quick succession are coalesced: the
// object is read about once per pause, the last change is delivered within the
// bound, and the watch continues afterwards.
func TestSourceRapidChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSourceTest(t)
		f.platform.SetFaults(storetest.Faults{AllChanges: true})
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
		require.LessOrEqual(t, after["watch"]-before["watch"], uint64(5), "each watch returns all changes in between")
		time.Sleep(2 * time.Second)
		require.EqualValues(t, changes+1, f.last())
		require.IsIncreasing(t, f.delivered)
		f.write(t, "500")
		time.Sleep(time.Second)
		require.EqualValues(t, 500, f.last())
	})
}

// TestSourceOutage checks that an unavailable store receives few calls, and that the
// source is up to date soon after the outage.
func TestSourceOutage(t *testing.T) {
	for name, faults := range map[string]storetest.Faults{
		"down": {Down: true},
		"slow": {Latency: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSourceTest(t)
				f.write(t, "3")
				time.Sleep(3 * time.Second)
				require.True(t, f.source.Reachable())
				f.platform.SetFaults(faults)
				before := f.platform.Calls()
				const outage = 10 * time.Minute
				time.Sleep(outage)
				after := f.platform.Calls()
				calls := after["get"] + after["watch"] - before["get"] - before["watch"]
				require.LessOrEqual(t, calls, uint64(2*outage/time.Second))
				require.False(t, f.source.Reachable())
				f.platform.SetFaults(storetest.Faults{})
				f.write(t, "5")
				time.Sleep(2 * time.Second)
				require.EqualValues(t, 5, f.last())
				require.True(t, f.source.Reachable())
			})
		})
	}
}

// TestSourceSkipsInvalidObject checks that the source continues after an object that
// holds no valid configuration.
func TestSourceSkipsInvalidObject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSourceTest(t)
		f.write(t, "3")
		time.Sleep(time.Second)
		f.write(t, "no number")
		time.Sleep(time.Second)
		f.write(t, "5")
		time.Sleep(time.Second)
		require.Equal(t, []uint64{3, 5}, f.delivered)
	})
}
