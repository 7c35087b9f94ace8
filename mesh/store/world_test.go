package store_test

// This file defines the world of the fault matrix and of the state machine: a
// stand-in platform, nodes that read and publish, operators, and the promises
// that are checked at every step.

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"caroblift.dev/mesh/operator"
	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/revision"
	"caroblift.dev/mesh/store"
	"caroblift.dev/mesh/storetest"
	"caroblift.dev/wire"
)

// The seed and the number of cases are fixed unless the command line names
// others.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "120")
}

// Durations of the world, in virtual time.
const (
	callTimeout = 2 * time.Second
	settleTime  = 20 * time.Second // after the last fault, for everything to be in force
	snapshots   = 3                // revisions between two snapshots
)

// world is everything that takes part.
type world struct {
	store *storetest.Store

	mu        sync.Mutex
	nodes     []*node
	noReaders bool                     // nodes that start only publish
	allFirst  bool                     // every publisher takes itself for the first
	digests   map[uint64]string        // of each revision, as first seen in force
	versions  map[record.Key]versionAt // newest version of each record in force
	created   map[string]int           // revision objects by change ID
	writes    map[string]int           // writes of each tag that took effect
	bases     map[string]uint64        // version that each tag was to replace
	hooks     map[string]func(n *node) // by step, run once
	fired     map[string]bool          // steps whose hook ran
	quiet     time.Time                // when the fault is over
	broken    []string
}

type versionAt struct{ version, number uint64 }

func newWorld() *world {
	w := &world{
		store: storetest.New(), digests: map[uint64]string{}, versions: map[record.Key]versionAt{}, created: map[string]int{},
		writes: map[string]int{}, bases: map[string]uint64{}, hooks: map[string]func(*node){}, fired: map[string]bool{},
	}
	w.store.Observe = w.observe
	return w
}

func (w *world) breakf(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// observe checks each change on the platform.
func (w *world) observe(old, o store.Object) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch o.Kind {
	case store.KindRevision:
		if rev, err := store.DecodeRevision(o); err == nil && !o.Deleted {
			if w.created[rev.GetChange()]++; w.created[rev.GetChange()] > 1 {
				w.breakf("revision %d was published twice with change %s", rev.GetNumber(), rev.GetChange())
			}
		}
	case store.KindRecord:
		r, err := store.DecodeRecord(o)
		tag := tagOf(r)
		if err != nil || tag == "" {
			return
		}
		if w.writes[tag]++; w.writes[tag] > 1 {
			w.breakf("write %s took effect twice", tag)
		}
		before, _ := store.DecodeRecord(old)
		if base := w.bases[tag]; old.Version != base && (base != 0 || !before.GetDeleted()) {
			w.breakf("write %s replaced version %d unseen, its operator had seen %d", tag, old.Version, base)
		}
	}
}

// tagOf returns the unique tag that a write of this test carries.
func tagOf(r *wire.Record) string {
	var body struct{ Tag string }
	_ = json.Unmarshal(r.GetBody(), &body)
	return body.Tag
}

// node is one instance that reads and publishes.
type node struct {
	w          *world
	name       string
	rank       int
	conn, poll *storetest.Conn
	holder     *revision.Holder
	cancel     context.CancelFunc
	ctx        context.Context
	lease      atomic.Pointer[lease] // set when the publisher is chosen by a lease
	done       chan struct{}

	mu     sync.Mutex
	paused chan struct{} // closed when running again; nil while running
	dead   bool
}

// start adds a node. The floor is what its peers remember of it.
func (w *world) start(name string, rank int, floor uint64) *node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{
		w: w, name: name, rank: rank, holder: &revision.Holder{}, cancel: cancel, done: make(chan struct{}),
		ctx: ctx, conn: w.store.Conn(callTimeout), poll: w.store.Conn(callTimeout),
	}
	n.holder.Raise(floor)
	deliver := func(u *wire.Update) { n.deliver(ctx, u) }
	reader := store.NewReader(store.ReaderConfig{
		Store: &tap{n, n.conn}, Poll: &tap{n, n.poll}, Active: func() bool { return true }, Holder: n.holder,
		Deliver: deliver, Wait: 20 * time.Second, Every: time.Second,
	})
	publisher := store.NewPublisher(store.PublisherConfig{
		Store: &tap{n, n.conn}, Poll: &tap{n, n.poll}, Name: name, Holder: n.holder, Deliver: deliver,
		Wait: 20 * time.Second, Every: time.Second, Snapshot: snapshots, Rank: n.publisherRank,
	})
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	readers := !w.noReaders
	go func() {
		defer close(n.done)
		if readers {
			go func() { _ = reader.Run(ctx) }()
		}
		_ = publisher.Run(ctx)
	}()
	return n
}

func (n *node) publisherRank() (int, bool) {
	if l := n.lease.Load(); l != nil {
		return 0, l.held.Load()
	}
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	if n.w.allFirst {
		return 0, true
	}
	return n.rank, true
}

// crash ends a node at once.
func (n *node) crash() {
	n.mu.Lock()
	n.dead = true
	n.mu.Unlock()
	n.resume()
	n.cancel()
}

// restart replaces a node by an empty one, which its peers tell its floor.
func (n *node) restart() *node {
	n.crash()
	return n.w.start(n.name, n.rank, n.holder.Table().Number)
}

func (n *node) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused == nil {
		n.paused = make(chan struct{})
	}
}

func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused != nil {
		close(n.paused)
		n.paused = nil
	}
}

// stop blocks while the node is paused and ends the caller's work when it is
// dead.
func (n *node) stop(ctx context.Context) bool {
	n.mu.Lock()
	paused := n.paused
	n.mu.Unlock()
	if paused != nil {
		select {
		case <-paused:
		case <-ctx.Done():
		}
	}
	return n.isDead()
}

func (n *node) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

// hook sets what happens at a step once.
func (w *world) hook(step string, f func(n *node)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hooks[step] = f
}

// at runs the hook of a step once.
func (n *node) at(step string) {
	n.w.mu.Lock()
	hook := n.w.hooks[step]
	if hook != nil {
		delete(n.w.hooks, step)
		n.w.fired[step] = true
	}
	n.w.mu.Unlock()
	if hook != nil {
		hook(n)
	}
}

func (n *node) deliver(ctx context.Context, u *wire.Update) {
	n.at("apply")
	if n.stop(ctx) {
		return
	}
	_ = n.holder.Apply(u)
	n.check()
	n.at("swap")
	n.stop(ctx)
}

// check checks every promise on the table in force.
func (n *node) check() {
	t := n.holder.Table()
	w := n.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if n.dead {
		return
	}
	if first, ok := w.digests[t.Number]; ok && first != string(t.Digest) {
		w.breakf("%s holds another table at revision %d than first seen", n.name, t.Number)
	}
	w.digests[t.Number] = string(t.Digest)
	for _, r := range t.Routes {
		if t.Services[r.Service] == nil {
			w.breakf("%s: route %s refers to service %s, which is not there", n.name, r.Name, r.Service)
		}
	}
	for k, r := range t.Records {
		last := w.versions[k]
		if (t.Number >= last.number && r.GetVersion() < last.version) || (t.Number <= last.number && r.GetVersion() > last.version) {
			w.breakf("%s: %s has version %d at revision %d, and %d at %d", n.name, k, r.GetVersion(), t.Number, last.version, last.number)
		}
		if t.Number > last.number {
			w.versions[k] = versionAt{r.GetVersion(), t.Number}
		}
	}
}

// tap runs the hooks of the steps around a node's calls.
type tap struct {
	n     *node
	store store.Store
}

// stepOf returns the step that a call belongs to.
func stepOf(kind string, write bool) string {
	switch {
	case kind == store.KindRecord && write:
		return "record write"
	case kind == store.KindRecord:
		return "compose"
	case kind == store.KindRevision && write:
		return "append"
	case kind == store.KindRevision:
		return "read"
	case write:
		return "snapshot"
	}
	return "load"
}

// around runs one call. A call of a dead node goes nowhere; an answer to one
// reaches nobody.
func around[T any](ctx context.Context, p *tap, kind string, write bool, call func() (T, error)) (T, error) {
	var zero T
	step := stepOf(kind, write)
	p.n.at(step)
	if p.n.stop(ctx) {
		return zero, store.ErrDown
	}
	v, err := call()
	p.n.at("after " + step)
	if p.n.stop(ctx) {
		return zero, store.ErrUnknown
	}
	return v, err
}

func (p *tap) Get(ctx context.Context, kind, name string) (store.Object, error) {
	return around(ctx, p, kind, false, func() (store.Object, error) { return p.store.Get(ctx, kind, name) })
}

type listing struct {
	objs    []store.Object
	version uint64
	more    bool
}

func (p *tap) List(ctx context.Context, kind, after string) ([]store.Object, uint64, bool, error) {
	l, err := around(ctx, p, kind, false, func() (l listing, err error) {
		l.objs, l.version, l.more, err = p.store.List(ctx, kind, after)
		return l, err
	})
	return l.objs, l.version, l.more, err
}

func (p *tap) Watch(ctx context.Context, kind string, version uint64, wait time.Duration) ([]store.Object, uint64, error) {
	l, err := around(ctx, p, kind, false, func() (l listing, err error) {
		l.objs, l.version, err = p.store.Watch(ctx, kind, version, wait)
		return l, err
	})
	return l.objs, l.version, err
}

func (p *tap) Create(ctx context.Context, kind, name string, body []byte) (store.Object, error) {
	return around(ctx, p, kind, true, func() (store.Object, error) { return p.store.Create(ctx, kind, name, body) })
}

func (p *tap) Update(ctx context.Context, kind, name string, version uint64, body []byte) (store.Object, error) {
	return around(ctx, p, kind, true, func() (store.Object, error) { return p.store.Update(ctx, kind, name, version, body) })
}

func (p *tap) Delete(ctx context.Context, kind, name string, version uint64) error {
	_, err := around(ctx, p, kind, true, func() (struct{}, error) { return struct{}{}, p.store.Delete(ctx, kind, name, version) })
	return err
}

// outcome is what an operator was told of one write.
type outcome struct {
	tag      string
	written  bool // it took effect
	refused  bool // it did not
	response *wire.ApplyResponse
}

// apply writes a record through a node's operator service as an operator that
// has seen a version.
func (w *world) apply(n *node, r *wire.Record) outcome {
	return w.applyIn(context.Background(), n, r)
}

func (w *world) applyIn(ctx context.Context, n *node, r *wire.Record) outcome {
	out := outcome{tag: tagOf(r)}
	w.mu.Lock()
	w.bases[out.tag] = r.GetVersion()
	w.mu.Unlock()
	service := operator.New(operator.Config{Store: &tap{n, n.conn}, Holder: n.holder})
	resp, err := service.Apply(ctx, connect.NewRequest(&wire.ApplyRequest{Record: r}))
	if err != nil {
		out.refused = connect.CodeOf(err) == connect.CodeAborted || connect.CodeOf(err) == connect.CodeUnavailable
		return out
	}
	out.response = resp.Msg
	out.refused = resp.Msg.GetConflict()
	out.written = !out.refused && !resp.Msg.GetUnchanged()
	return out
}

// checkOutcome compares what an operator was told with what took effect. It is
// called at the end, when no write is on its way any more.
func (w *world) checkOutcome(o outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := w.writes[o.tag]; (o.written && n != 1) || (o.refused && n != 0) {
		w.breakf("write %s: told written %t, refused %t, and took effect %d times", o.tag, o.written, o.refused, n)
	}
}

// end ends every fault and checks that everything comes into force.
func (w *world) end(t require.TestingT) {
	w.store.Set(storetest.Faults{})
	w.mu.Lock()
	w.allFirst = false
	nodes := slices.Clone(w.nodes)
	w.mu.Unlock()
	for _, n := range nodes {
		n.resume()
	}
	time.Sleep(settleTime)
	var records []*wire.Record
	for _, o := range w.store.PeekAll(store.KindRecord) {
		r, err := store.DecodeRecord(o)
		require.NoError(t, err)
		records = append(records, r)
	}
	var first *revision.Table
	for _, n := range nodes {
		if n.isDead() {
			continue
		}
		table := n.holder.Table()
		if first == nil {
			first = table
		}
		require.Equal(t, first.Number, table.Number, "%s", n.name)
		require.Equal(t, first.Digest, table.Digest, "%s", n.name)
		require.True(t, n.holder.Ready() || table.Number == 0, "%s at %d, floor %d", n.name, table.Number, n.holder.Floor())
	}
	res := revision.Compose(first, records, revision.FormatNow)
	require.Empty(t, res.Changed, "the largest consistent set is in force")
	require.True(t, revision.SameHeld(res.Held, first.Held), "%v held, want %v", first.Held, res.Held)
	w.mu.Lock()
	defer w.mu.Unlock()
	require.Empty(t, w.broken)
}

// alive returns a node that runs.
func (w *world) alive() *node {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return !n.isDead() })
	return w.nodes[i]
}

// close ends every node.
func (w *world) close() {
	for _, n := range w.nodes {
		n.crash()
		<-n.done
	}
}

// service and route return records with a unique tag.
func service(name, tag string, version uint64) *wire.Record {
	body := fmt.Sprintf(`{"owner":"%s","tag":"%s"}`, tag, tag)
	return &wire.Record{Kind: wire.Kind_KIND_SERVICE, Name: name, Schema: 1, Version: version, Body: []byte(body)}
}

func route(name, to, tag string, version uint64) *wire.Record {
	body := fmt.Sprintf(`{"prefix":"/%s","service":"%s","tag":"%s"}`, name, to, tag)
	return &wire.Record{Kind: wire.Kind_KIND_ROUTE, Name: name, Schema: 1, Version: version, Body: []byte(body)}
}

// version returns the present version of a record on the platform.
func (w *world) version(k record.Key) uint64 {
	o, _ := w.store.Peek(store.KindRecord, store.RecordName(k))
	return o.Version
}
