package store

// This file drives the source: it follows the one object that holds a whole
// configuration.

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/telemetry"
	"caroblift.dev/wire"
)

// Place names the object that holds a configuration, and decodes it.
type Place struct {
	Kind, Name string
	// Decode returns the snapshot of a document that an object holds, or why
	// it holds none.
	Decode func(Object) (*wire.Snapshot, error)
}

// SourceConfig configures a Source. Every field up to Wait is required.
type SourceConfig struct {
	Store   Store
	Poll    Store // on connections of its own, since a watch can go silent
	Place   Place
	Active  func() bool                   // whether this node reads the store now
	Deliver func(*wire.Snapshot) error    // takes what was just read; an error is logged
	Wait    func() time.Duration          // of the next watch
	Rest    func(bytes int) time.Duration // after an object of some size was read; nil means sourceRest
	News    <-chan struct{}               // tells that peers may hold a newer version
	Behind  func() bool                   // whether they do
	Sinks   telemetry.Sinks
}

// Source hands each version of a configuration from the store to its node. It
// watches the object and does not rely on the watch alone: one whose history is
// gone, that fails twice, or that has told nothing while a peer holds a newer
// version is followed by a plain read on another connection. It costs one call
// for each wait, and reads the object, which may be large, only when it has to.
type Source struct {
	config  SourceConfig
	checked atomic.Int64
	working atomic.Bool
	version uint64 // of the object when last delivered
	from    uint64 // version of the store to watch from; 0 when the object must be read
}

// NewSource returns a source.
func NewSource(config SourceConfig) *Source {
	config.Sinks = config.Sinks.OrDiscard()
	return &Source{config: config}
}

// Checked returns when the store last confirmed that the node holds the newest
// version, in Unix ms.
func (s *Source) Checked() int64 { return s.checked.Load() }

// Working tells whether the last call to the store was answered.
func (s *Source) Working() bool { return s.working.Load() }

// Run follows the object until the context ends.
func (s *Source) Run(ctx context.Context) error {
	failures := backoff{first: sourceRetry, most: maxSourceRetry}
	for ctx.Err() == nil {
		if !s.config.Active() {
			pause(ctx, idleDelay)
			continue
		}
		err := s.follow(ctx, failures.reset)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			continue // nothing is written yet, or the node does not read any more
		}
		if s.working.Swap(false) {
			s.config.Sinks.Log.Warn("store lost", "error", err.Error(), "version", s.version)
		}
		if !errors.Is(err, ErrGone) {
			pause(ctx, failures.next(err))
		}
	}
	return nil
}

// Delays of a source after failures. It comes back sooner than other drivers,
// since a configuration must be in force within seconds of the store's return.
const (
	sourceRetry    = 150 * time.Millisecond
	maxSourceRetry = time.Second
	// quietWatches is after how many watches without a change the object is read
	// beside them. Peers tell sooner that a node is behind; this is for a node
	// whose watch alone is silent and that reaches no peer.
	quietWatches = 3
	// sourceRest is the pause after a change: configurations that come in quick
	// succession are taken together, well within the bound for one.
	sourceRest = 300 * time.Millisecond
)

// follow reads the object and watches it until a call fails.
func (s *Source) follow(ctx context.Context, answered func()) error {
	if s.from == 0 {
		o, err := s.config.Poll.Get(ctx, s.config.Place.Kind, s.config.Place.Name)
		if errors.Is(err, ErrNotFound) {
			s.settle()
			pause(ctx, s.config.Wait()/4) // the operator has written nothing yet
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read configuration")
		}
		s.deliver(o)
		answered()
		s.from = o.Version
	}
	for first, quiet := true, 0; ctx.Err() == nil && s.config.Active(); first = false {
		objs, next, err := s.watch(ctx, s.from)
		behind := errors.Is(err, errOvertaken)
		if err != nil && !behind {
			s.lost(err, first)
			return errors.Wrap(err, "watch configuration")
		}
		answered()
		if quiet++; behind || len(objs) > 0 || quiet == quietWatches {
			quiet = 0
			if err := s.changed(ctx, objs); err != nil {
				return err
			}
		}
		s.settle()
		s.from = max(s.from, next)
		if len(objs) > 1 {
			if err := s.storm(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

// lost takes that a watch has failed, the first since the last failure or a
// later one. A later one is begun again where it was, so that a fleet whose
// watches are cut together does not read the object together; when its history
// is gone or the next fails as well, the object is read.
func (s *Source) lost(err error, first bool) {
	if first || errors.Is(err, ErrGone) {
		s.from = 0
	}
}

// errOvertaken ends a watch that has missed a change.
var errOvertaken = errors.New("a peer holds a newer version")

// newsGrace is how long a watch may take to tell of a version that a peer holds
// already: the fleet's watches are answered within some ms of each other.
const newsGrace = 300 * time.Millisecond

// watch waits for changes. It ends with errOvertaken when a peer holds a newer
// version that it has not told of.
func (s *Source) watch(ctx context.Context, from uint64) ([]Object, uint64, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if s.config.News != nil {
		go s.compare(ctx, cancel)
	}
	objs, next, err := s.config.Store.Watch(ctx, s.config.Place.Kind, from, s.config.Wait())
	if err != nil && errors.Is(context.Cause(ctx), errOvertaken) {
		return nil, from, errOvertaken
	}
	return objs, next, err
}

// compare ends a watch when peers go ahead of it.
func (s *Source) compare(ctx context.Context, end context.CancelCauseFunc) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.config.News:
		}
		if !s.config.Behind() {
			continue
		}
		pause(ctx, newsGrace)
		if ctx.Err() == nil && s.config.Behind() {
			s.config.Sinks.Log.Info("watch missed a change", "version", s.version)
			end(errOvertaken)
			return
		}
	}
}

// changed takes what a watch told. When that is nothing for long, or less than
// peers know, the watch may be silent, and the object is read beside it.
func (s *Source) changed(ctx context.Context, objs []Object) error {
	if len(objs) == 0 {
		o, err := s.config.Poll.Get(ctx, s.config.Place.Kind, s.config.Place.Name)
		if err != nil {
			return errors.Wrap(err, "read configuration beside the watch")
		}
		objs = []Object{o}
	}
	var newest Object // which tells all that the others do
	for _, o := range objs {
		if o.Name == s.config.Place.Name && !o.Deleted && o.Version > newest.Version {
			newest = o
		}
	}
	if newest.Version > 0 {
		s.take(ctx, newest)
	}
	return nil
}

// storm reads the object until it has stayed the same for a rest. A watch
// tells of each change with a whole object, also of those in between.
func (s *Source) storm(ctx context.Context) error {
	for ctx.Err() == nil {
		o, err := s.config.Poll.Get(ctx, s.config.Place.Kind, s.config.Place.Name)
		if err != nil {
			return errors.Wrap(err, "read configuration that changes often")
		}
		if o.Version <= s.from {
			return nil
		}
		s.from = o.Version
		s.take(ctx, o)
		s.settle()
	}
	return nil
}

// take hands over an object that was read, and rests.
func (s *Source) take(ctx context.Context, o Object) {
	s.deliver(o)
	rest := sourceRest
	if s.config.Rest != nil {
		rest = s.config.Rest(len(o.Body))
	}
	pause(ctx, rest)
}

func (s *Source) settle() {
	if !s.working.Swap(true) {
		s.config.Sinks.Log.Info("store answers", "version", s.version)
	}
	s.checked.Store(time.Now().UnixMilli())
}

// deliver hands over an object that is newer than the last one.
func (s *Source) deliver(o Object) {
	if o.Version <= s.version {
		return
	}
	snapshot, err := s.config.Place.Decode(o)
	if err == nil {
		err = s.config.Deliver(snapshot)
	}
	if err != nil {
		s.config.Sinks.Log.Error("configuration refused", "object", o.Kind+"/"+o.Name, "version", o.Version, "error", err.Error())
		return
	}
	s.config.Sinks.Log.Info("configuration read", "version", o.Version, "number", snapshot.GetNumber(), "bytes", len(o.Body))
	s.version = o.Version
	s.settle()
}
