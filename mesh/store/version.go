package store

// This file defines the version of an object and the one order of versions.

import (
	"cmp"
	"log/slog"
	"strconv"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/decimal"
)

// Version is the version of an object, or of the platform as a whole. A platform
// may come back from an older copy of itself: it then loses its last writes and
// gives out their revisions again, but its era has risen by one. The zero Version
// is older than that of every object.
type Version struct {
	Era      uint64 // how often the platform came back from an older copy; 0 if it never does
	Revision uint64 // increases with every write to any object within an era
}

// Compare returns -1 if v is older than o, 1 if it is newer, and 0 if they are
// equal. A version of a later era is newer, whatever its revision.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Era, o.Era), cmp.Compare(v.Revision, o.Revision))
}

// Newer reports whether v is newer than o.
func (v Version) Newer(o Version) bool { return v.Compare(o) > 0 }

// IsZero reports whether v is the version of no object.
func (v Version) IsZero() bool { return v == Version{} }

// LogValue implements slog.LogValuer.
func (v Version) LogValue() slog.Value {
	return slog.GroupValue(slog.Uint64("era", v.Era), slog.Uint64("revision", v.Revision))
}

// MarshalJSON implements json.Marshaler. It writes the revision alone, since the
// built-in protocol has a single era.
func (v Version) MarshalJSON() ([]byte, error) { return strconv.AppendUint(nil, v.Revision, 10), nil }

// UnmarshalJSON implements json.Unmarshaler for what MarshalJSON writes, however the
// platform spells it.
func (v *Version) UnmarshalJSON(data []byte) error {
	var revision decimal.Whole
	if err := revision.UnmarshalJSON(data); err != nil {
		return errors.Wrap(err, "parse version")
	}
	*v = Version{Revision: uint64(revision)}
	return nil
}

// newest returns the newer of two versions.
func newest(a, b Version) Version {
	if b.Newer(a) {
		return b
	}
	return a
}
