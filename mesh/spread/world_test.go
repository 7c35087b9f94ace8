package spread_test

// This file runs many states against a network and a platform that lose,
// delay, duplicate and reorder, on a clock of its own. After each event it
// checks the promises against the accepted history.

import (
	"bytes"
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/member"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/spread"
	"caroblift.dev/wire"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "60")
}

const (
	beat    = time.Second
	timeout = 2 * beat
)

// instance is one node; a restart replaces its state and holder.
type instance struct {
	name   string
	domain string
	up     bool
	life   int // grows with each restart
	paused time.Time
	state  *spread.State
	holder *revision.Holder
	view   *member.View
	last   uint64 // revision in force in this life
	served uint64 // newest revision ever served
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// world is the whole fleet.
type world struct {
	rand      *rand.Rand
	now       time.Time
	queue     events
	order     int
	tree      spread.Tree
	instances []*instance
	byName    map[string]*instance
	history   []*wire.Revision // accepted, from revision 1
	digests   [][]byte
	head      revision.Holder
	down      bool   // the platform does not answer
	stale     uint64 // when set, what the platform shows instead of its head
	loss      int    // percent of messages lost
	double    int    // percent of messages that arrive twice
	delay     time.Duration
	cut       func(from, to string) bool      // true for a message that is lost
	hook      func(step string, i *instance)  // may cause a fault
	slow      func(i *instance) time.Duration // added to messages of an instance
	broken    error                           // the first broken promise
}

func newWorld(seed uint64, nodes, domains int) *world {
	w := &world{
		rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e9, 0), tree: spread.Tree{Fanout: 4, Readers: 2},
		byName: map[string]*instance{}, delay: 10 * time.Millisecond,
		cut: func(string, string) bool { return false }, hook: func(string, *instance) {},
		slow: func(*instance) time.Duration { return 0 },
	}
	for n := range nodes {
		i := &instance{name: fmt.Sprintf("n%d", n), domain: fmt.Sprintf("d%d", n%domains)}
		w.instances = append(w.instances, i)
		w.byName[i.name] = i
	}
	for _, i := range w.instances {
		w.start(i)
	}
	return w
}

// start gives an instance an empty state.
func (w *world) start(i *instance) {
	i.up, i.life, i.last, i.holder, i.paused = true, i.life+1, 0, &revision.Holder{}, time.Time{}
	i.view = w.picture(i, func(*instance) bool { return false })
	i.state = spread.New(spread.Config{
		Tree: w.tree, Holder: i.holder, Beat: beat, Exchange: 5 * beat, Head: true,
		Rand: rand.New(rand.NewPCG(w.rand.Uint64(), 2)),
	}, i.view, w.now)
	w.tick(i, i.life)
	w.poll(i, i.life)
}

// picture returns a view without some instances.
func (w *world) picture(self *instance, gone func(*instance) bool) *member.View {
	v := &member.View{Members: map[string]*wire.Member{}}
	for _, o := range w.instances {
		if o != self && gone(o) {
			continue
		}
		v.Members[o.name] = &wire.Member{
			Name: o.name, Domain: o.domain, Peer: o.name, State: wire.State_STATE_ALIVE, Incarnation: uint64(o.life),
		}
		v.Names = append(v.Names, o.name)
	}
	v.Self = v.Members[self.name]
	return v
}

func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now.Add(d), order: w.order, run: run})
}

// on runs something on an instance unless it has gone; a paused one runs it
// once it goes on.
func (w *world) on(i *instance, life int, run func()) {
	if !i.up || i.life != life {
		return
	}
	if w.now.Before(i.paused) {
		w.after(i.paused.Sub(w.now), func() { w.on(i, life, run) })
		return
	}
	run()
	i.state.Changed(w.now)
	for _, a := range i.state.Actions() {
		w.send(i, a)
	}
	w.check(i)
}

func (w *world) tick(i *instance, life int) {
	w.on(i, life, func() { i.state.Tick(w.now, i.view, 0) })
	if i.life == life {
		next := beat*7/8 + time.Duration(w.rand.Int64N(int64(beat/4)))
		if !i.state.Settled() {
			next = beat / 8
		}
		w.after(next, func() { w.tick(i, life) })
	}
}

// send carries one action out; its instance gets one answer, or nil.
func (w *world) send(i *instance, a spread.Action) {
	life, done := i.life, false
	finish := func(run func()) {
		if !done {
			done = true
			w.on(i, life, run)
		}
	}
	if a.Kind == spread.ActionHead {
		w.after(w.delay, func() { finish(func() { w.readHead(i, a) }) })
		return
	}
	answer, serve := w.exchange(i, a)
	w.after(timeout, func() { finish(func() { answer(nil) }) })
	to := w.byName[a.Name]
	w.carry(i.name, to.name, func() {
		toLife := to.life
		w.on(to, toLife, func() {
			resp := serve(to)
			w.carry(to.name, i.name, func() { finish(func() { answer(resp) }) })
		})
	})
	if !to.up && !w.cut(i.name, to.name) {
		w.after(w.delay, func() { finish(func() { answer(nil) }) }) // refused
	}
}

// carry delivers a message once, twice or never.
func (w *world) carry(from, to string, deliver func()) {
	if w.cut(from, to) || w.rand.IntN(100) < w.loss {
		return
	}
	copies := 1
	if w.rand.IntN(100) < w.double {
		copies = 2
	}
	for range copies {
		d := time.Duration(w.rand.Int64N(int64(w.delay))) + time.Millisecond
		w.after(d+w.slow(w.byName[from])+w.slow(w.byName[to]), deliver)
	}
}

// exchange returns how an action is answered and how the answer is taken.
func (w *world) exchange(i *instance, a spread.Action) (answer func(any), serve func(*instance) any) {
	switch a.Kind {
	case spread.ActionAttach:
		w.hook("report", i)
		return func(r any) { resp, _ := r.(*wire.AttachResponse); i.state.Attached(a, resp, w.now) },
			func(to *instance) any { return to.state.Attach(a.Attach, w.now) }
	case spread.ActionFetch:
		return func(r any) {
				resp, _ := r.(*wire.FetchResponse)
				i.state.Fetched(a, resp, w.now)
				w.offer(i, resp.GetUpdate())
			}, func(to *instance) any {
				return to.state.Serve(a.Fetch, to.holder.Since(a.Fetch.GetRevision(), a.Fetch.GetDigest()), w.now)
			}
	}
	u := i.holder.Since(a.From.Number, a.From.Digest)
	if u == nil || u.GetSnapshot() != nil && !i.state.Admit(w.now) {
		return func(any) { i.state.Postponed(a, w.now) }, func(*instance) any { return nil }
	}
	req := &wire.PushRequest{Name: i.name, Update: u, Time: i.state.Checked()}
	w.hook("push", i)
	return func(r any) { resp, _ := r.(*wire.PushResponse); i.state.Pushed(a, spread.LastMark(u), resp, w.now) },
		func(to *instance) any { return to.state.Took(req, w.offer(to, u)) }
}

// offer applies an update as an owner does.
func (w *world) offer(i *instance, u *wire.Update) error {
	if u == nil || !i.state.Settled() {
		return errors.New("not settled")
	}
	w.hook("apply", i)
	err := i.holder.Apply(u)
	i.state.Offered(err, w.now)
	if err == nil {
		w.hook("swap", i)
	}
	if errors.Is(err, revision.ErrStale) {
		err = nil
	}
	return err
}

// shown returns the revisions that the platform shows.
func (w *world) shown() []*wire.Revision {
	if w.stale > 0 {
		return w.history[:w.stale]
	}
	return w.history
}

func (w *world) readHead(i *instance, a spread.Action) {
	i.state.Headed(max(a.From.Number, uint64(len(w.shown()))), !w.down, w.now)
}

// poll lets an instance read the platform when it is a reader.
func (w *world) poll(i *instance, life int) {
	w.on(i, life, func() { w.read(i) })
	if i.life == life {
		w.after(beat, func() { w.poll(i, life) })
	}
}

func (w *world) read(i *instance) {
	if w.down || !i.state.Reader(w.now) {
		return
	}
	w.hook("read", i)
	shown := w.shown()
	if n := i.holder.Table().Number; i.up && !w.now.Before(i.paused) && n < uint64(len(shown)) {
		u := &wire.Update{Revisions: shown[n:]}
		if i.state.Platform(uint64(len(shown)), w.now) {
			_ = w.offer(i, u)
		}
	}
	if i.holder.Table().Number == uint64(len(shown)) {
		i.state.Confirm(w.now.UnixMilli())
	}
}

// publish accepts one more revision; the readers hear of it at once.
func (w *world) publish() {
	n := uint64(len(w.history) + 1)
	res := revision.Result{Changed: []*wire.Record{{
		Kind: wire.Kind_KIND_SERVICE, Name: fmt.Sprintf("s%d", n%5), Schema: 1, Version: n, Body: []byte(`{}`),
	}}}
	rev, err := revision.Next(w.head.Table(), res, fmt.Sprint(n), "test", int64(n))
	if err == nil {
		err = w.head.Apply(&wire.Update{Revisions: []*wire.Revision{rev}})
	}
	if err != nil {
		panic(err)
	}
	w.history, w.digests = append(w.history, rev), append(w.digests, w.head.Table().Digest)
	for _, i := range w.instances {
		life := i.life
		w.after(5*time.Millisecond, func() { w.on(i, life, func() { w.read(i) }) })
	}
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	until := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(until) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

func (w *world) fail(format string, args ...any) {
	if w.broken == nil {
		w.broken = errors.Errorf("at %s: %s", w.now.Sub(time.Unix(1e9, 0)), fmt.Sprintf(format, args...))
	}
}

// check compares one instance with the accepted history.
func (w *world) check(i *instance) {
	t := i.holder.Table()
	if t.Number < i.last {
		w.fail("%s goes back from %d to %d", i.name, i.last, t.Number)
	}
	i.last = t.Number
	if t.Number > 0 && !bytes.Equal(t.Digest, w.digests[t.Number-1]) {
		w.fail("%s holds a table at %d that was never accepted", i.name, t.Number)
	}
	if i.holder.Ready() {
		if t.Number < i.served {
			w.fail("%s served %d and now serves %d", i.name, i.served, t.Number)
		}
		i.served = t.Number
	}
	if p := i.state.Parent(); p != "" && !w.tree.RankOf(p).Above(w.tree.RankOf(i.name)) {
		w.fail("%s hangs under %s of lower rank", i.name, p)
	}
	w.checkCycle(i)
}

func (w *world) checkCycle(i *instance) {
	at := i
	for range w.instances {
		if at = w.byName[at.state.Parent()]; at == nil {
			return
		}
	}
	w.fail("%s is on a cycle of parents", i.name)
}

// heal ends every fault and lets the views tell who is up.
func (w *world) heal() {
	w.down, w.stale, w.loss, w.double, w.delay = false, 0, 0, 0, 10*time.Millisecond
	w.cut = func(string, string) bool { return false }
	w.slow = func(*instance) time.Duration { return 0 }
	w.hook = func(string, *instance) {}
	w.look()
}

// look gives every instance the true view.
func (w *world) look() {
	for _, i := range w.instances {
		i.view = w.picture(i, func(o *instance) bool { return !o.up })
	}
}

// behind returns the instances that are up and not in force at the head.
func (w *world) behind() []string {
	var out []string
	for _, i := range w.instances {
		if i.up && (i.holder.Table().Number != uint64(len(w.history)) || !i.holder.Ready()) {
			out = append(out, fmt.Sprintf("%s at %d of %d, ready %t", i.name, i.holder.Table().Number, len(w.history), i.holder.Ready()))
		}
	}
	return out
}

// count returns the number of instances that are up.
func (w *world) count() int {
	n := 0
	for _, i := range w.instances {
		if i.up {
			n++
		}
	}
	return n
}

// top returns the instances that are up and have no parent.
func (w *world) top() []*instance {
	var out []*instance
	for _, i := range w.instances {
		if i.up && i.state.Parent() == "" {
			out = append(out, i)
		}
	}
	return out
}
