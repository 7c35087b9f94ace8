package store_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/store"
	"caroblift.dev/mesh/storetest"
	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
)

// eraTest is a node's source and table in force beside a store that can come back
// from an older copy.
type eraTest struct {
	platform *storetest.Store
	holder   revision.Holder

	mu      sync.Mutex
	numbers []uint64 // in force, in order
}

// newEraTest starts a source that reads from the given connections. It must be
// called in a synctest bubble, and the returned function before its end.
func newEraTest(platform *storetest.Store, watch, read store.Store) (*eraTest, func()) {
	f := &eraTest{platform: platform}
	source := store.NewSource(store.SourceConfig{
		Store: watch, ReadStore: read, Active: func() bool { return true }, WatchTimeout: func() time.Duration { return watchWait },
		Object: store.ConfigObject{Kind: "setup", Name: "whole", Decode: decodeNumber}, Deliver: f.deliver,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- source.Run(ctx) }()
	return f, func() {
		cancel()
		<-done
	}
}

// decodeNumber returns the configuration that a body names by number, as "8", or
// by number and content, as "8 other".
func decodeNumber(o store.Object) (*wire.Snapshot, error) {
	var number uint64
	var content string
	if n, err := fmt.Sscan(string(o.Body), &number, &content); n == 0 {
		return nil, errors.Wrap(err, "body")
	}
	return revision.NewDocument(number, &wire.Document{Limits: &wire.CallerLimits{Header: uint64(len(content))}})
}

func (f *eraTest) deliver(s *wire.Snapshot, _ store.Version) error {
	err := f.holder.Apply(&wire.Update{Snapshot: s})
	if err == nil {
		f.mu.Lock()
		f.numbers = append(f.numbers, f.holder.Table().Number)
		f.mu.Unlock()
	}
	if errors.Is(err, revision.ErrStale) {
		return nil
	}
	return err
}

// inForce returns the numbers that have come into force, in order.
func (f *eraTest) inForce() []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.numbers)
}

func (f *eraTest) write(t require.TestingT, body string) {
	require.NoError(t, f.platform.Overwrite("setup", "whole", []byte(body)))
}

// writeOthers changes other objects, so that revisions are used up.
func (f *eraTest) writeOthers(t require.TestingT, count int) {
	for range count {
		require.NoError(t, f.platform.Overwrite("other", "x", nil))
	}
}

// goAway makes the store unavailable for a while.
func (f *eraTest) goAway(d time.Duration) {
	f.platform.SetFaults(storetest.Faults{Down: true})
	time.Sleep(d)
	f.platform.SetFaults(storetest.Faults{})
}

// restoreBound is the time from a write until it is in force, also after a restore.
const restoreBound = 2 * time.Second

// sourceRestoreCases holds what happens to a store and the numbers that come into
// force. The configurations 3 and 5 are in force and older than the copy when each
// case begins, and 34 is written at its end.
var sourceRestoreCases = map[string]struct {
	play func(t *testing.T, f *eraTest)
	want []uint64
}{
	"away and back": {func(t *testing.T, f *eraTest) {
		f.write(t, "8")
		time.Sleep(time.Second)
		f.platform.Restore(1500 * time.Millisecond)
		f.goAway(time.Second)
		time.Sleep(time.Second)
		require.EqualValues(t, 8, f.holder.Table().Number, "what was in force stays")
	}, []uint64{3, 5, 8, 34}},
	"record written again": {func(t *testing.T, f *eraTest) {
		f.writeOthers(t, 20)
		f.write(t, "8")
		time.Sleep(time.Second)
		f.platform.Restore(1500 * time.Millisecond)
		time.Sleep(time.Second)
		f.write(t, "8")
		time.Sleep(time.Second)
	}, []uint64{3, 5, 8, 34}},
	"revisions given out again": {func(t *testing.T, f *eraTest) {
		f.writeOthers(t, 20)
		f.write(t, "8")
		time.Sleep(time.Second)
		f.platform.SetFaults(storetest.Faults{Down: true})
		f.platform.Restore(1500 * time.Millisecond)
		f.write(t, "13")
		f.writeOthers(t, 40)
		f.goAway(time.Second)
		time.Sleep(restoreBound)
		require.EqualValues(t, 13, f.holder.Table().Number, "below the revision to watch from")
	}, []uint64{3, 5, 8, 13, 34}},
	"watch beyond the end": {func(t *testing.T, f *eraTest) {
		f.writeOthers(t, 20)
		f.write(t, "8")
		time.Sleep(time.Second)
		f.platform.Restore(1500 * time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		f.write(t, "13")
		time.Sleep(restoreBound)
		require.EqualValues(t, 13, f.holder.Table().Number)
	}, []uint64{3, 5, 8, 13, 34}},
	"twice in a row": {func(t *testing.T, f *eraTest) {
		f.writeOthers(t, 20)
		f.write(t, "8")
		time.Sleep(time.Second)
		f.platform.Restore(1500 * time.Millisecond)
		f.goAway(300 * time.Millisecond)
		f.write(t, "13")
		time.Sleep(time.Second)
		f.platform.Restore(1200 * time.Millisecond)
		f.goAway(300 * time.Millisecond)
		f.write(t, "21")
		time.Sleep(restoreBound)
		require.EqualValues(t, 21, f.holder.Table().Number)
	}, []uint64{3, 5, 8, 13, 21, 34}},
	"during a change": {func(t *testing.T, f *eraTest) {
		f.writeOthers(t, 20)
		f.write(t, "8")
		time.Sleep(time.Second)
		f.write(t, "9")
		f.platform.Restore(1500 * time.Millisecond) // before the change is read
		f.write(t, "13")
		time.Sleep(restoreBound)
		require.EqualValues(t, 13, f.holder.Table().Number)
	}, []uint64{3, 5, 8, 13, 34}},
	"same number, other content": {func(t *testing.T, f *eraTest) {
		f.writeOthers(t, 20)
		f.write(t, "8 lost")
		time.Sleep(time.Second)
		digest := f.holder.Table().Digest
		f.platform.Restore(1500 * time.Millisecond)
		f.write(t, "8 rewritten")
		time.Sleep(restoreBound)
		require.Equal(t, digest, f.holder.Table().Digest, "one number is one configuration")
	}, []uint64{3, 5, 8, 34}},
}

// TestSourceAfterRestore guards against a node that ignores new configurations, or
// goes back to an older one, after the store came back from an older copy.
func TestSourceAfterRestore(t *testing.T) {
	for name, c := range sourceRestoreCases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := storetest.New()
				f, stop := newEraTest(platform, platform.Conn(500*time.Millisecond), platform.Conn(500*time.Millisecond))
				defer stop()
				f.write(t, "3")
				time.Sleep(restoreBound)
				f.write(t, "5")
				time.Sleep(10 * time.Second)
				c.play(t, f)
				f.write(t, "34")
				time.Sleep(restoreBound)
				require.Equal(t, c.want, f.inForce())
			})
		})
	}
}

// revisionStore is a connection to a store by a protocol in which a request names no
// era: a watch from a revision that was given out again waits, and only its answer
// tells that the era has risen.
type revisionStore struct {
	store.Store
	platform *storetest.Store
}

func (s revisionStore) Watch(ctx context.Context, kind string, version store.Version, wait time.Duration) ([]store.Object, store.Version, error) {
	era := s.platform.Era()
	objs, next, err := s.Store.Watch(ctx, kind, store.Version{Era: era, Revision: version.Revision}, wait)
	if err == nil && era != version.Era {
		return nil, store.Version{}, store.ErrGone
	}
	return objs, next, err
}

// TestSourceHearsOfReturnSoon guards against a watch that waits its full time after an
// outage although it starts from a revision that was given out again.
func TestSourceHearsOfReturnSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := storetest.New()
		conn := func() store.Store { return revisionStore{platform.Conn(500 * time.Millisecond), platform} }
		f, stop := newEraTest(platform, conn(), conn())
		defer stop()
		f.write(t, "3")
		time.Sleep(3 * time.Second)
		f.writeOthers(t, 20)
		f.write(t, "5")
		time.Sleep(time.Second)
		platform.SetFaults(storetest.Faults{Down: true})
		time.Sleep(watchWait - 680*time.Millisecond) // until one watch has failed; the pause after the change was 300 ms
		platform.Restore(watchWait + 500*time.Millisecond)
		f.write(t, "8")
		f.writeOthers(t, 40)
		platform.SetFaults(storetest.Faults{})
		time.Sleep(time.Second)
		require.Equal(t, []uint64{3, 5, 8}, f.inForce())
	})
}

// TestRestore checks that a store that came back from an older copy has its state of
// then, gives out revisions again under the next era and knows no expectation of an
// earlier one.
func TestRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, platform := t.Context(), storetest.New()
		kept, err := platform.Create(ctx, "k", "kept", []byte("1"))
		require.NoError(t, err)
		deleted, err := platform.Create(ctx, "k", "deleted", nil)
		require.NoError(t, err)
		time.Sleep(3 * time.Second)
		changed, err := platform.Update(ctx, "k", "kept", kept.Version, []byte("2"))
		require.NoError(t, err)
		require.NoError(t, platform.Delete(ctx, "k", "deleted", deleted.Version))
		lost, err := platform.Create(ctx, "k", "lost", nil)
		require.NoError(t, err)
		_, end, _, err := platform.List(ctx, "k", "")
		require.NoError(t, err)

		var names []string
		for _, o := range platform.Restore(time.Second) {
			names = append(names, o.Name+" "+strconv.FormatBool(o.Deleted))
		}
		require.Equal(t, []string{"kept false", "deleted true", "lost false"}, names)
		objs, now, _, err := platform.List(ctx, "k", "")
		require.NoError(t, err)
		require.Len(t, objs, 2)
		require.Equal(t, store.Object{Kind: "k", Name: "kept", Version: store.Version{Era: 1, Revision: kept.Version.Revision}, Body: []byte("1")}, objs[1])
		require.Equal(t, store.Version{Era: 1, Revision: deleted.Version.Revision}, now)
		_, _, err = platform.Watch(ctx, "k", store.Version{Era: 1, Revision: end.Revision}, time.Second)
		require.ErrorIs(t, err, store.ErrGone, "beyond the end")
		again, err := platform.Update(ctx, "k", "kept", objs[1].Version, []byte("3"))
		require.NoError(t, err)
		require.Equal(t, store.Version{Era: 1, Revision: changed.Version.Revision}, again.Version)
		require.True(t, again.Version.Newer(lost.Version))
		_, err = platform.Update(ctx, "k", "kept", changed.Version, []byte("4"))
		require.ErrorIs(t, err, store.ErrConflict, "the same revision of the era before")
		require.ErrorIs(t, platform.Delete(ctx, "k", "kept", changed.Version), store.ErrConflict)
		_, _, err = platform.Watch(ctx, "k", kept.Version, time.Second)
		require.ErrorIs(t, err, store.ErrGone, "a revision of the era before")
	})
}

// TestMeetingPointsAfterRestore checks that lost meeting points are back about 2 s
// after the store's return, written only by the nodes that had one and not all at
// the same time. Each node hears of the return within a second.
func TestMeetingPointsAfterRestore(t *testing.T) {
	const perDomain, nodes, domains = 4, 60, 3
	synctest.Test(t, func(t *testing.T) {
		platform := storetest.New()
		ctx, cancel := context.WithCancel(t.Context())
		var eras []*store.Eras
		for i := range nodes {
			seen := store.NewEras(telemetry.Sinks{})
			eras = append(eras, seen)
			m := store.NewMeetingPoints(store.MeetingPointsConfig{
				Store: platform, Eras: seen, PointsPerDomain: perDomain,
				Self: func() *wire.Member {
					return &wire.Member{Name: fmt.Sprint("n", i), Domain: fmt.Sprint("d", i%domains), Peer: fmt.Sprint("10.0.0.", i, ":1")}
				},
				IsAlive: func(string) bool { return true }, MembersKnown: func() bool { return true },
			})
			require.NoError(t, seen.Observe(platform.Era()))
			go func() { _ = m.Run(ctx) }()
			time.Sleep(10 * time.Millisecond)
		}
		points := func() (names []string) {
			for _, o := range platform.PeekAll(store.KindMember) {
				names = append(names, o.Name)
			}
			return names
		}
		before := points()
		require.Len(t, before, perDomain*domains)
		hearAll := func(spread time.Duration) {
			for i, e := range eras {
				time.AfterFunc(time.Duration(i)*spread/nodes, func() { require.NoError(t, e.Observe(platform.Era())) })
			}
		}
		for round := range 2 {
			time.Sleep(3 * time.Second)
			calls := platform.Calls()
			platform.Restore(time.Hour)
			require.Empty(t, points())
			hearAll(time.Second)
			time.Sleep(500 * time.Millisecond)
			require.Less(t, len(points()), perDomain*domains, "not all at once")
			time.Sleep(1500 * time.Millisecond)
			require.Equal(t, before, points(), "round %d", round)
			require.EqualValues(t, perDomain*domains, platform.Calls()["create"]-calls["create"])
			require.EqualValues(t, perDomain*domains, platform.Calls()["list"]-calls["list"], "the other nodes make no call")
		}
		platform.Restore(time.Hour)
		platform.SetFaults(storetest.Faults{Down: true}) // it names its era also while it rejects calls
		hearAll(0)
		time.Sleep(8 * time.Second)
		platform.SetFaults(storetest.Faults{})
		time.Sleep(2 * time.Second)
		require.Equal(t, before, points(), "after an outage of 8 s")
		cancel()
		synctest.Wait()
	})
}

// lookStore counts looks, which name the era of the platform.
type lookStore struct {
	platform *storetest.Store
	eras     *store.Eras
	looks    atomic.Int32
}

// Look implements store.Looker.
func (s *lookStore) Look(context.Context, string, string) error {
	s.looks.Add(1)
	return s.eras.Observe(s.platform.Era())
}

// TestLostMeetingPointWithoutOtherCalls guards against hearing of a return by a silent watch only.
func TestLostMeetingPointWithoutOtherCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform, eras := storetest.New(), store.NewEras(telemetry.Sinks{})
		looker := &lookStore{platform: platform, eras: eras}
		var reachable atomic.Bool
		reachable.Store(true)
		m := store.NewMeetingPoints(store.MeetingPointsConfig{
			Store: platform, Eras: eras, Looker: looker, Reachable: reachable.Load, PointsPerDomain: 4,
			Self:    func() *wire.Member { return &wire.Member{Name: "n", Domain: "d", Peer: "10.0.0.1:1"} },
			IsAlive: func(string) bool { return true }, MembersKnown: func() bool { return true },
		})
		require.NoError(t, eras.Observe(platform.Era()))
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = m.Run(ctx) }()
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			require.NoError(t, eras.Observe(platform.Era()))
		}
		require.Zero(t, looker.looks.Load(), "the platform answers other calls")
		platform.Restore(time.Hour)
		time.Sleep(2500 * time.Millisecond)
		require.Len(t, platform.PeekAll(store.KindMember), 1)
		require.LessOrEqual(t, looker.looks.Load(), int32(3))
		looks := looker.looks.Load()
		reachable.Store(false)
		time.Sleep(5 * time.Second)
		require.Equal(t, looks, looker.looks.Load(), "other calls are made again soon")
		cancel()
		synctest.Wait()
	})
}

// TestEras checks that an era is known by its latest answer, whichever client of the
// node received it.
func TestEras(t *testing.T) {
	e := store.NewEras(telemetry.Sinks{})
	rose := e.Rose()
	require.NoError(t, e.Observe(7), "the first one is no rise")
	require.NoError(t, e.Observe(7))
	require.Equal(t, store.EraState{Current: 7, Previous: 7}, e.State())
	select {
	case <-rose:
		require.Fail(t, "it did not rise")
	default:
	}
	require.NoError(t, e.Observe(9))
	<-rose
	require.ErrorIs(t, e.Observe(8), store.ErrOldEra)
	require.Equal(t, store.EraState{Current: 9, Previous: 7, Rises: 1}, e.State())
}

// TestVersionOrder checks that versions are ordered by era, then by revision.
func TestVersionOrder(t *testing.T) {
	ordered := []store.Version{{}, {Revision: 1}, {Revision: 90}, {Era: 1}, {Era: 1, Revision: 2}, {Era: 1, Revision: 80}, {Era: 2, Revision: 1}}
	for i, a := range ordered {
		for j, b := range ordered {
			require.Equal(t, i > j, a.Newer(b), "%v and %v", a, b)
		}
	}
}

// scriptedStore answers each call from a state of a store in one of two eras, as
// drawn beforehand and then from the last one. Like a client, it drops the answers
// of an era before one that it has seen.
type scriptedStore struct {
	store.Store
	eras   *store.Eras
	states []scriptedState
	drawn  *[]int // indices of the states that the next calls see, shared by the connections
}

type scriptedState struct {
	object store.Object
	head   store.Version
}

// next returns the state that the next call sees.
func (s *scriptedStore) next() (scriptedState, error) {
	state := s.states[len(s.states)-1]
	if len(*s.drawn) > 0 {
		state, *s.drawn = s.states[(*s.drawn)[0]], (*s.drawn)[1:]
	}
	if s.eras.Observe(state.head.Era) != nil {
		return state, store.ErrUnavailable
	}
	return state, nil
}

func (s *scriptedStore) Get(context.Context, string, string) (store.Object, error) {
	state, err := s.next()
	return state.object, err
}

func (s *scriptedStore) List(context.Context, string, string) ([]store.Object, store.Version, bool, error) {
	state, err := s.next()
	return []store.Object{state.object}, state.head, false, err
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, version store.Version, wait time.Duration) ([]store.Object, store.Version, error) {
	state, err := s.next()
	switch {
	case err != nil:
		return nil, store.Version{}, err
	case version.Era != state.head.Era, version.Revision > state.head.Revision:
		return nil, store.Version{}, store.ErrGone
	case state.object.Version.Newer(version):
		return []store.Object{state.object}, state.head, nil
	}
	select {
	case <-ctx.Done():
		return nil, store.Version{}, store.ErrUnavailable
	case <-time.After(wait):
		return nil, state.head, nil
	}
}

// drawStates draws the states of a store that loses its newest ones in between and
// gets new ones, the last of which holds the newest configuration.
func drawStates(t *rapid.T) []scriptedState {
	var states []scriptedState
	var number uint64
	add := func(era, revision uint64, body uint64) uint64 {
		revision += rapid.Uint64Range(1, 5).Draw(t, "revisions until the write")
		states = append(states, scriptedState{
			object: store.Object{Kind: "setup", Name: "whole", Version: store.Version{Era: era, Revision: revision}, Body: strconv.AppendUint(nil, body, 10)},
			head:   store.Version{Era: era, Revision: revision + rapid.Uint64Range(0, 3).Draw(t, "revisions after the write")},
		})
		return states[len(states)-1].head.Revision
	}
	var head uint64
	for range rapid.IntRange(2, 8).Draw(t, "writes of the first era") {
		number += rapid.Uint64Range(1, 3).Draw(t, "step")
		head = add(1, head, number)
	}
	copied := states[rapid.IntRange(0, len(states)-1).Draw(t, "copy")]
	copied.object.Version.Era, copied.head.Era = 2, 2
	states, head = append(states, copied), copied.head.Revision
	if rapid.Bool().Draw(t, "the newest is written again") {
		head = add(2, head, number)
	}
	for range rapid.IntRange(1, 4).Draw(t, "writes of the second era") {
		number += rapid.Uint64Range(1, 3).Draw(t, "step")
		head = add(2, head, number)
	}
	return states
}

// TestAnswersOfTwoEras checks for answers of two eras in any order that the newest
// configuration comes into force and that no version is delivered after a newer
// one.
func TestAnswersOfTwoEras(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			states := drawStates(t)
			drawn := rapid.SliceOfN(rapid.IntRange(0, len(states)-1), 0, 30).Draw(t, "answers")
			s := &scriptedStore{eras: store.NewEras(telemetry.Sinks{}), states: states, drawn: &drawn}
			f, stop := newEraTest(nil, s, s)
			time.Sleep(5 * time.Minute)
			stop()
			want, err := decodeNumber(states[len(states)-1].object)
			require.NoError(t, err)
			require.Empty(t, drawn)
			require.Equal(t, want.GetNumber(), f.holder.Table().Number)
			require.IsIncreasing(t, append([]uint64{0}, f.inForce()...))
		})
	})
}
