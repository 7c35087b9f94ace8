package store

// This file implements the source, which follows the single object that holds a
// whole configuration.

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/record"
	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
)

// ConfigObject identifies the object that holds a configuration and decodes it.
type ConfigObject struct {
	Kind, Name string
	// Decode returns the snapshot for the document in an object, or an error
	// if the document is not valid.
	Decode func(Object) (*wire.Snapshot, error)
}

// SourceConfig configures a Source. The fields up to WatchTimeout are required.
type SourceConfig struct {
	Store        Store
	ReadStore    Store // on separate connections, since a watch can stop responding
	Object       ConfigObject
	Active       func() bool                         // whether this node is to read the store now
	Deliver      func(*wire.Snapshot, Version) error // applies a snapshot of an object's version; an error is logged
	WatchTimeout func() time.Duration                // longest duration of the next watch
	ReadPause    func(bytes int) time.Duration       // pause after reading this many bytes; nil for minReadInterval
	PeerUpdates  <-chan struct{}                     // receives an item when peers may hold a newer version
	PeersAhead   func() bool                         // whether a peer holds a newer version
	Sinks        telemetry.Sinks
}

// Source delivers the newest version of a configuration from the store to its
// node. It watches the object but does not rely on the watch alone: it reads the
// object on another connection when the watch version is too old, when the watch
// fails twice in a row, when several watches bring no change, and when a watch
// brings none although a peer holds a newer version. After a failure the first
// watch is short, so that the source soon learns whether the store came back from
// an older copy. An idle source makes one call for each wait; the object may be
// large and is read only when necessary.
//
// A store that came back from an older copy may hold an older configuration than
// before. The source delivers it like any other; which of two configurations is
// newer is decided by their own numbers.
type Source struct {
	config           SourceConfig
	confirmedAt      atomic.Int64
	reachable        atomic.Bool
	refused          atomic.Pointer[wire.RefusedDocument]
	deliveredVersion Version   // of the object last delivered
	watchFrom        Version   // store version to watch from; zero when the object must be read
	watchEnd         time.Time // when the store was to answer the last watch at the latest
	resuming         bool      // whether a call failed and none succeeded since
	watchWorks       bool      // whether a watch that was not short has succeeded since the last failure
}

// NewSource returns a source; Run starts it.
func NewSource(config SourceConfig) *Source {
	config.Sinks = config.Sinks.WithDefaults()
	return &Source{config: config}
}

// ConfirmedAt returns when the store last confirmed that the node holds the
// newest version, in Unix ms.
func (s *Source) ConfirmedAt() int64 { return s.confirmedAt.Load() }

// Reachable reports whether the last call to the store succeeded.
func (s *Source) Reachable() bool { return s.reachable.Load() }

// Refused returns the object that was read last if it could not come into force, and
// else nil. The result must not be modified.
func (s *Source) Refused() *wire.RefusedDocument { return s.refused.Load() }

// Run follows the object until the context ends.
func (s *Source) Run(ctx context.Context) error {
	failures := backoff{initial: initialSourceRetryDelay, limit: maxSourceRetryDelay}
	for ctx.Err() == nil {
		if !s.config.Active() {
			pause(ctx, roleCheckInterval)
			continue
		}
		s.watchWorks = false
		err := s.follow(ctx, failures.reset)
		worked := s.watchWorks // else the store has no history since it was read just now
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			continue // no configuration is written yet, or the node stopped reading
		}
		s.resuming = true
		if s.reachable.Swap(false) {
			s.config.Sinks.Log.Warn("store lost", "error", err.Error(), "version", s.deliveredVersion)
		}
		if !errors.Is(err, ErrGone) || !worked {
			pause(ctx, failures.nextDelay(err))
		}
	}
	return nil
}

// Delays of a source. It retries sooner than a reader or publisher, since a
// configuration must be in force within seconds of the store's return.
const (
	initialSourceRetryDelay = 150 * time.Millisecond
	maxSourceRetryDelay     = time.Second
	// maxEmptyWatches is the number of consecutive watches without a change after
	// which the object is read on another connection. Peers usually report
	// earlier that a node is behind; this covers a node that reaches no peer and
	// whose watch has silently stopped.
	maxEmptyWatches = 3
	// minReadInterval is the pause after a change. It coalesces configurations
	// that are written in quick succession and is well below the bound for one to
	// come into force.
	minReadInterval = 300 * time.Millisecond
	// resumeWait is how long the first watch after a failure waits. It is short
	// since the answer tells the era of the store, and not zero since a store may
	// take that for no limit.
	resumeWait = 20 * time.Millisecond
)

// follow reads the object if needed and watches it until a call fails or the node
// stops reading. It calls succeeded after each successful read or watch.
func (s *Source) follow(ctx context.Context, succeeded func()) error {
	if s.watchFrom.IsZero() {
		if exists, err := s.readFirst(ctx); err != nil || !exists {
			return err
		}
		succeeded()
	}
	s.watchWorks = false
	for emptyWatches := 0; ctx.Err() == nil && s.config.Active(); {
		objs, next, err := s.watch(ctx, s.watchFrom)
		behind := errors.Is(err, errWatchBehind)
		if err != nil && !behind {
			s.handleWatchError(err)
			return errors.Wrap(err, "watch configuration")
		}
		answeredAt := s.answeredAt(objs)
		succeeded()
		emptyWatches = s.countWatch(emptyWatches)
		if behind || len(objs) > 0 || emptyWatches == maxEmptyWatches {
			emptyWatches = 0
			answeredAt = time.Now() // the object is read if there are no events
			if err := s.handleEvents(ctx, objs); err != nil {
				return err
			}
		}
		s.confirm(answeredAt)
		s.watchFrom = newest(s.watchFrom, next)
		if len(objs) > 1 {
			if err := s.readUntilStable(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

// answeredAt returns when the store answered a watch, or the earliest time that is
// possible: a process that was paused reads the answer later.
func (s *Source) answeredAt(objs []Object) time.Time {
	now := time.Now()
	if len(objs) == 0 && now.After(s.watchEnd) {
		return s.watchEnd
	}
	return now
}

// countWatch returns the number of watches without a change, after one more that
// succeeded. The short one after a failure does not count.
func (s *Source) countWatch(emptyWatches int) int {
	if s.resuming {
		s.resuming = false
		return emptyWatches
	}
	s.watchWorks = true
	return emptyWatches + 1
}

// readFirst reads and delivers the object, and sets where the next watch starts. That is
// the version of the list, not of the object: the store may have no history as old as the
// object's last change. It returns false after a pause if there is no object yet.
func (s *Source) readFirst(ctx context.Context) (bool, error) {
	objs, listed, err := ListAll(ctx, s.config.ReadStore, s.config.Object.Kind, "")
	if err != nil {
		return false, errors.Wrap(err, "read configuration")
	}
	readAt := time.Now()
	at := slices.IndexFunc(objs, func(o Object) bool { return o.Name == s.config.Object.Name && !o.Deleted })
	if at < 0 {
		s.confirm(readAt)
		pause(ctx, s.config.WatchTimeout()/4) // the operator has not written a configuration yet
		return false, nil
	}
	s.deliver(objs[at])
	s.watchFrom, s.resuming = newest(listed, objs[at].Version), false
	return true, nil
}

// handleWatchError makes the source read the object before the next watch if the
// watch version is too old, or if no watch but a short one has succeeded since the
// last failure. Otherwise the next watch resumes from the same version, so that nodes
// whose watches are cut at the same time do not all read the object at once.
func (s *Source) handleWatchError(err error) {
	if !s.watchWorks || errors.Is(err, ErrGone) {
		s.watchFrom = Version{}
	}
}

// errWatchBehind is the cause that cancels a watch that has missed a change.
var errWatchBehind = errors.New("a peer holds a newer version")

// watchLagTolerance is how long a watch may take to return a version that a peer
// already holds. The fleet's watches normally return within some ms of each other.
const watchLagTolerance = 300 * time.Millisecond

// watch waits for changes. It returns errWatchBehind when a peer holds a newer
// version that the watch has not returned.
func (s *Source) watch(ctx context.Context, from Version) ([]Object, Version, error) {
	wait := s.config.WatchTimeout()
	if s.resuming {
		wait = resumeWait
	}
	s.watchEnd = time.Now().Add(wait)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if s.config.PeerUpdates != nil {
		go s.cancelWhenBehind(ctx, cancel)
	}
	objs, next, err := s.config.Store.Watch(ctx, s.config.Object.Kind, from, wait)
	if err != nil && errors.Is(context.Cause(ctx), errWatchBehind) {
		return nil, from, errWatchBehind
	}
	return objs, next, err
}

// cancelWhenBehind cancels a watch when a peer holds a newer version for longer
// than watchLagTolerance.
func (s *Source) cancelWhenBehind(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.config.PeerUpdates:
		}
		if !s.config.PeersAhead() {
			continue
		}
		pause(ctx, watchLagTolerance)
		if ctx.Err() == nil && s.config.PeersAhead() {
			s.config.Sinks.Log.Info("watch missed a change", "version", s.deliveredVersion)
			cancel(errWatchBehind)
			return
		}
	}
}

// handleEvents delivers the newest version among the events of a watch. When there
// are no events the watch may have stopped silently, so the object is read on
// another connection.
func (s *Source) handleEvents(ctx context.Context, objs []Object) error {
	if len(objs) == 0 {
		o, err := s.config.ReadStore.Get(ctx, s.config.Object.Kind, s.config.Object.Name)
		if err != nil {
			return errors.Wrap(err, "read configuration to verify the watch")
		}
		objs = []Object{o}
	}
	var newest Object // each version holds the whole configuration, so the older ones can be skipped
	for _, o := range objs {
		if o.Name == s.config.Object.Name && !o.Deleted && o.Version.Newer(newest.Version) {
			newest = o
		}
	}
	if !newest.Version.IsZero() {
		s.deliverAndPause(ctx, newest)
	}
	return nil
}

// readUntilStable reads the object until it has not changed during one pause. It
// is cheaper than a watch while the object changes often, since a watch returns
// the whole object for each change.
func (s *Source) readUntilStable(ctx context.Context) error {
	for ctx.Err() == nil {
		o, err := s.config.ReadStore.Get(ctx, s.config.Object.Kind, s.config.Object.Name)
		if err != nil {
			return errors.Wrap(err, "read configuration until it is stable")
		}
		readAt := time.Now()
		if !o.Version.Newer(s.watchFrom) {
			return nil
		}
		s.watchFrom = o.Version
		s.deliverAndPause(ctx, o)
		s.confirm(readAt)
	}
	return nil
}

// deliverAndPause delivers an object and pauses before the next read or watch.
func (s *Source) deliverAndPause(ctx context.Context, o Object) {
	s.deliver(o)
	pauseTime := minReadInterval
	if s.config.ReadPause != nil {
		pauseTime = s.config.ReadPause(len(o.Body))
	}
	pause(ctx, pauseTime)
}

// confirm records that the store has responded and that the node was up to date then.
func (s *Source) confirm(at time.Time) {
	if !s.reachable.Swap(true) {
		s.config.Sinks.Log.Info("store answers", "version", s.deliveredVersion)
	}
	s.confirmedAt.Store(max(s.confirmedAt.Load(), at.UnixMilli()))
}

// deliver decodes and delivers an object if it is newer than the last one
// delivered. A refused object is logged and does not count as delivered.
func (s *Source) deliver(o Object) {
	if !o.Version.Newer(s.deliveredVersion) {
		return
	}
	readAt := time.Now()
	snapshot, err := s.config.Object.Decode(o)
	if err == nil {
		err = s.config.Deliver(snapshot, o.Version)
	}
	if err != nil {
		s.refuse(o, err)
		return
	}
	s.refused.Store(nil)
	s.config.Sinks.Log.Info("configuration read", "version", o.Version, "number", snapshot.GetNumber(), "bytes", len(o.Body))
	if findings := snapshot.GetFindings(); len(findings) > 0 {
		s.config.Sinks.Log.Warn("configuration has findings", "version", o.Version, "number", snapshot.GetNumber(), "findings", formatFindings(findings))
	}
	s.deliveredVersion = o.Version
	s.confirm(readAt)
}

// refuse records, logs and counts an object that did not come into force, with the
// findings on it if there are any. The last configuration stays in force.
func (s *Source) refuse(o Object, err error) {
	args := []any{"object", o.Kind + "/" + o.Name, "version", o.Version, "error", err.Error()}
	var findings record.Findings
	if errors.As(err, &findings) {
		args = append(args, "findings", formatFindings(findings))
	}
	s.refused.Store(&wire.RefusedDocument{Revision: o.Version.Revision, Error: strings.ToValidUTF8(err.Error(), "\ufffd"), Findings: findings})
	s.config.Sinks.Log.Error("configuration refused", args...)
	s.config.Sinks.Scope.Counter("configurations_refused").Inc(1)
}

// formatFindings returns findings for a log line.
func formatFindings(findings record.Findings) []string {
	lines := make([]string, len(findings))
	for i, f := range findings {
		lines[i] = record.FormatFinding(f)
	}
	return lines
}
