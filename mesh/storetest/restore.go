package storetest

// This file makes a store come back from an older copy of itself.

import (
	"slices"
	"time"

	"caroblift.dev/mesh/store"
)

// change is one change of an object. An object that did not exist before has the
// zero Version in old.
type change struct {
	at           time.Time
	old, written store.Object
}

// journalLength bounds the changes that Restore can undo.
const journalLength = 1000

// record adds a change to the journal. The caller holds s.mu.
func (s *Store) record(c change) {
	s.journal = append(s.journal, c)
	if n := len(s.journal) - journalLength; n > 0 {
		s.journal = slices.Clone(s.journal[n:])
	}
}

// Era returns how often the store came back from an older copy.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.era
}

// Restore makes the store come back from a copy of the given age: every change
// made since is gone, and its revision is given out again. The era rises by one.
// Waiting watches fail. Restore returns the objects that were written since, as
// they were last, in the order of their last change; deleted ones are marked. It
// undoes the last 1000 changes at most.
func (s *Store) Restore(age time.Duration) []store.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lost []store.Object
	seen := map[[2]string]bool{}
	copied := time.Now().Add(-age)
	for n := len(s.journal); n > 0 && s.journal[n-1].at.After(copied); n-- {
		c := s.journal[n-1]
		if key := [2]string{c.written.Kind, c.written.Name}; !seen[key] {
			seen[key] = true
			lost = append(lost, c.written)
		}
		s.undo(c)
		s.journal = s.journal[:n-1]
	}
	s.history = slices.DeleteFunc(s.history, func(o store.Object) bool { return o.Version.Revision > s.current.revision })
	s.oldest = min(s.oldest, s.current.revision)
	s.beginEra()
	slices.Reverse(lost)
	return lost
}

// undo restores the object of a change. The caller holds s.mu.
func (s *Store) undo(c change) {
	if c.old.Version.IsZero() {
		delete(s.current.byKind[c.written.Kind], c.written.Name)
	} else {
		s.current.byKind[c.old.Kind][c.old.Name] = c.old
	}
	s.current.revision = c.written.Version.Revision - 1
}

// beginEra raises the era, in which every object has a new version, and ends the
// waiting watches. The caller holds s.mu.
func (s *Store) beginEra() {
	s.current.era++
	for _, objs := range s.current.byKind {
		for name, o := range objs {
			o.Version.Era = s.current.era
			objs[name] = o
		}
	}
	for i := range s.history {
		s.history[i].Version.Era = s.current.era
	}
	for i := range s.journal {
		s.journal[i].old.Version.Era, s.journal[i].written.Version.Era = s.current.era, s.current.era
		if s.journal[i].old.Version.Revision == 0 {
			s.journal[i].old.Version = store.Version{}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}
