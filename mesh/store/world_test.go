package store_test

// This file defines the cluster for the fault matrix and the state machine: a fake
// platform, nodes that read and publish, operators, and the invariants that are
// checked at every step.

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

// init fixes the seed and the number of cases unless the command line sets others.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "120")
}

// Parameters of the cluster; durations are in virtual time.
const (
	callTimeout = 2 * time.Second
	settleTime  = 20 * time.Second // after the last fault, for all nodes to converge
	snapshots   = 3                // revisions between two snapshots
)

// cluster is the platform and the nodes of a test, and the state for checking
// invariants.
type cluster struct {
	store *storetest.Store

	mu            sync.Mutex
	nodes         []*node
	noReaders     bool                     // nodes that are started only publish
	allRankZero   bool                     // every publisher has rank 0
	digests       map[uint64]string        // digest of each revision as first seen in force
	versions      map[record.Key]versionAt // newest version of each record in force
	revisionCount map[string]int           // number of revision objects by change ID
	writeCount    map[string]int           // number of writes that took effect, by tag
	baseVersions  map[string]uint64        // version that each write was to replace, by tag
	hooks         map[string]func(n *node) // by step, each run once
	fired         map[string]bool          // steps whose hook has run
	faultEnd      time.Time                // when the fault ends
	violations    []string
}

type versionAt struct{ version, number uint64 }

func newCluster() *cluster {
	cl := &cluster{
		store: storetest.New(), digests: map[uint64]string{}, versions: map[record.Key]versionAt{}, revisionCount: map[string]int{},
		writeCount: map[string]int{}, baseVersions: map[string]uint64{}, hooks: map[string]func(*node){}, fired: map[string]bool{},
	}
	cl.store.OnChange = cl.observe
	return cl
}

// violatef records the violation of an invariant. The caller holds cl.mu.
func (cl *cluster) violatef(format string, args ...any) {
	cl.violations = append(cl.violations, fmt.Sprintf(format, args...))
}

// observe checks the invariants for each change on the platform.
func (cl *cluster) observe(old, o store.Object) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	switch o.Kind {
	case store.KindRevision:
		if rev, err := store.DecodeRevision(o); err == nil && !o.Deleted {
			if cl.revisionCount[rev.GetChange()]++; cl.revisionCount[rev.GetChange()] > 1 {
				cl.violatef("revision %d was published twice with change %s", rev.GetNumber(), rev.GetChange())
			}
		}
	case store.KindRecord:
		r, err := store.DecodeRecord(o)
		tag := tagOf(r)
		if err != nil || tag == "" {
			return
		}
		if cl.writeCount[tag]++; cl.writeCount[tag] > 1 {
			cl.violatef("write %s took effect twice", tag)
		}
		before, _ := store.DecodeRecord(old)
		if base := cl.baseVersions[tag]; old.Version.Revision != base && (base != 0 || !before.GetDeleted()) {
			cl.violatef("write %s replaced version %d, but its operator had read version %d", tag, old.Version.Revision, base)
		}
	}
}

// tagOf returns the unique tag of a write in these tests.
func tagOf(r *wire.Record) string {
	var body struct{ Tag string }
	_ = json.Unmarshal(r.GetBody(), &body)
	return body.Tag
}

// node is one instance that reads and publishes.
type node struct {
	cluster    *cluster
	name       string
	rank       int
	conn, poll *storetest.Conn
	holder     *revision.Holder
	cancel     context.CancelFunc
	ctx        context.Context
	lease      atomic.Pointer[lease] // set when a lease chooses the publisher
	done       chan struct{}

	mu     sync.Mutex
	paused chan struct{} // closed on resume; nil while running
	dead   bool
}

// start adds a node. floor is the newest revision of it that its peers know.
func (cl *cluster) start(name string, rank int, floor uint64) *node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{
		cluster: cl, name: name, rank: rank, holder: &revision.Holder{}, cancel: cancel, done: make(chan struct{}),
		ctx: ctx, conn: cl.store.Conn(callTimeout), poll: cl.store.Conn(callTimeout),
	}
	n.holder.RaiseFloor(floor)
	deliver := func(u *wire.Update) { n.deliver(ctx, u) }
	reader := store.NewReader(store.ReaderConfig{
		Store: &nodeStore{n, n.conn}, PollStore: &nodeStore{n, n.poll}, Active: func() bool { return true }, Holder: n.holder,
		Deliver: deliver, WatchTimeout: 20 * time.Second, PollInterval: time.Second,
	})
	publisher := store.NewPublisher(store.PublisherConfig{
		Store: &nodeStore{n, n.conn}, PollStore: &nodeStore{n, n.poll}, Name: name, Holder: n.holder, Deliver: deliver,
		WatchTimeout: 20 * time.Second, PollInterval: time.Second, SnapshotInterval: snapshots, Rank: n.publisherRank,
	})
	cl.mu.Lock()
	cl.nodes = append(cl.nodes, n)
	cl.mu.Unlock()
	readers := !cl.noReaders
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
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.cluster.allRankZero {
		return 0, true
	}
	return n.rank, true
}

// crash stops a node at once.
func (n *node) crash() {
	n.mu.Lock()
	n.dead = true
	n.mu.Unlock()
	n.resume()
	n.cancel()
}

// restart replaces a node by an empty one that knows its former revision from its
// peers.
func (n *node) restart() *node {
	n.crash()
	return n.cluster.start(n.name, n.rank, n.holder.Table().Number)
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

// waitPaused blocks while the node is paused and reports whether the node is dead.
func (n *node) waitPaused(ctx context.Context) bool {
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

// hook sets a function that is called once, when a node reaches a step.
func (cl *cluster) hook(step string, f func(n *node)) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.hooks[step] = f
}

// runHook runs the hook of a step, if there is one that has not run yet.
func (n *node) runHook(step string) {
	n.cluster.mu.Lock()
	hook := n.cluster.hooks[step]
	if hook != nil {
		delete(n.cluster.hooks, step)
		n.cluster.fired[step] = true
	}
	n.cluster.mu.Unlock()
	if hook != nil {
		hook(n)
	}
}

func (n *node) deliver(ctx context.Context, u *wire.Update) {
	n.runHook("apply")
	if n.waitPaused(ctx) {
		return
	}
	_ = n.holder.Apply(u)
	n.check()
	n.runHook("swap")
	n.waitPaused(ctx)
}

// check checks the invariants of the table in force.
func (n *node) check() {
	t := n.holder.Table()
	cl := n.cluster
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if n.dead {
		return
	}
	if first, ok := cl.digests[t.Number]; ok && first != string(t.Digest) {
		cl.violatef("%s holds a table at revision %d that differs from the one first seen", n.name, t.Number)
	}
	cl.digests[t.Number] = string(t.Digest)
	for _, r := range t.Routes {
		if t.Services[r.Service] == nil {
			cl.violatef("%s: route %s refers to service %s, which is not in the table", n.name, r.Name, r.Service)
		}
	}
	for k, r := range t.Records {
		last := cl.versions[k]
		if (t.Number >= last.number && r.GetVersion() < last.version) || (t.Number <= last.number && r.GetVersion() > last.version) {
			cl.violatef("%s: %s has version %d at revision %d, and %d at %d", n.name, k, r.GetVersion(), t.Number, last.version, last.number)
		}
		if t.Number > last.number {
			cl.versions[k] = versionAt{r.GetVersion(), t.Number}
		}
	}
}

// nodeStore is the store of a node; it runs hooks before and after each call.
type nodeStore struct {
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

// withHooks runs one call between its hooks. A node that is dead makes no call and
// receives no response.
func withHooks[T any](ctx context.Context, s *nodeStore, kind string, write bool, call func() (T, error)) (T, error) {
	var zero T
	step := stepOf(kind, write)
	s.n.runHook(step)
	if s.n.waitPaused(ctx) {
		return zero, store.ErrUnavailable
	}
	v, err := call()
	s.n.runHook("after " + step)
	if s.n.waitPaused(ctx) {
		return zero, store.ErrOutcomeUnknown
	}
	return v, err
}

func (s *nodeStore) Get(ctx context.Context, kind, name string) (store.Object, error) {
	return withHooks(ctx, s, kind, false, func() (store.Object, error) { return s.store.Get(ctx, kind, name) })
}

// listing is the result of a list or a watch.
type listing struct {
	objs    []store.Object
	version store.Version
	more    bool
}

func (s *nodeStore) List(ctx context.Context, kind, after string) ([]store.Object, store.Version, bool, error) {
	l, err := withHooks(ctx, s, kind, false, func() (l listing, err error) {
		l.objs, l.version, l.more, err = s.store.List(ctx, kind, after)
		return l, err
	})
	return l.objs, l.version, l.more, err
}

func (s *nodeStore) Watch(ctx context.Context, kind string, version store.Version, wait time.Duration) ([]store.Object, store.Version, error) {
	l, err := withHooks(ctx, s, kind, false, func() (l listing, err error) {
		l.objs, l.version, err = s.store.Watch(ctx, kind, version, wait)
		return l, err
	})
	return l.objs, l.version, err
}

func (s *nodeStore) Create(ctx context.Context, kind, name string, body []byte) (store.Object, error) {
	return withHooks(ctx, s, kind, true, func() (store.Object, error) { return s.store.Create(ctx, kind, name, body) })
}

func (s *nodeStore) Update(ctx context.Context, kind, name string, version store.Version, body []byte) (store.Object, error) {
	return withHooks(ctx, s, kind, true, func() (store.Object, error) { return s.store.Update(ctx, kind, name, version, body) })
}

func (s *nodeStore) Delete(ctx context.Context, kind, name string, version store.Version) error {
	_, err := withHooks(ctx, s, kind, true, func() (struct{}, error) { return struct{}{}, s.store.Delete(ctx, kind, name, version) })
	return err
}

// outcome is the result of one write as reported to its operator.
type outcome struct {
	tag      string
	written  bool // reported to have taken effect
	refused  bool // reported to have had no effect
	response *wire.ApplyResponse
}

// apply writes a record through a node's operator service. The record's version is
// the one that the operator has read.
func (cl *cluster) apply(n *node, r *wire.Record) outcome {
	return cl.applyIn(context.Background(), n, r)
}

func (cl *cluster) applyIn(ctx context.Context, n *node, r *wire.Record) outcome {
	out := outcome{tag: tagOf(r)}
	cl.mu.Lock()
	cl.baseVersions[out.tag] = r.GetVersion()
	cl.mu.Unlock()
	service := operator.New(operator.Config{Store: &nodeStore{n, n.conn}, Holder: n.holder})
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

// checkOutcome compares a reported outcome with the writes that took effect. It must
// be called when no write is in flight any more.
func (cl *cluster) checkOutcome(o outcome) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if n := cl.writeCount[o.tag]; (o.written && n != 1) || (o.refused && n != 0) {
		cl.violatef("write %s: reported written %t, refused %t, but took effect %d times", o.tag, o.written, o.refused, n)
	}
}

// checkConvergence ends every fault and checks that all live nodes reach the table
// that follows from the records.
func (cl *cluster) checkConvergence(t require.TestingT) {
	cl.store.SetFaults(storetest.Faults{})
	cl.mu.Lock()
	cl.allRankZero = false
	nodes := slices.Clone(cl.nodes)
	cl.mu.Unlock()
	for _, n := range nodes {
		n.resume()
	}
	time.Sleep(settleTime)
	var records []*wire.Record
	for _, o := range cl.store.PeekAll(store.KindRecord) {
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
	res := revision.Compose(first, records, revision.NewestFormat)
	require.Empty(t, res.Changed, "the largest consistent set is in force")
	require.True(t, revision.EqualHeld(res.Held, first.Held), "%v held, want %v", first.Held, res.Held)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	require.Empty(t, cl.violations)
}

// liveNode returns a live node.
func (cl *cluster) liveNode() *node {
	i := slices.IndexFunc(cl.nodes, func(n *node) bool { return !n.isDead() })
	return cl.nodes[i]
}

// close stops every node.
func (cl *cluster) close() {
	for _, n := range cl.nodes {
		n.crash()
		<-n.done
	}
}

// service returns a service record with a unique tag.
func service(name, tag string, version uint64) *wire.Record {
	body := fmt.Sprintf(`{"owner":"%s","tag":"%s"}`, tag, tag)
	return &wire.Record{Kind: wire.Kind_KIND_SERVICE, Name: name, Schema: 1, Version: version, Body: []byte(body)}
}

// route returns a route record with a unique tag.
func route(name, to, tag string, version uint64) *wire.Record {
	body := fmt.Sprintf(`{"prefix":"/%s","service":"%s","tag":"%s"}`, name, to, tag)
	return &wire.Record{Kind: wire.Kind_KIND_ROUTE, Name: name, Schema: 1, Version: version, Body: []byte(body)}
}

// version returns the version of a record on the platform, 0 for none.
func (cl *cluster) version(k record.Key) uint64 {
	o, _ := cl.store.Peek(store.KindRecord, store.RecordName(k))
	return o.Version.Revision
}
