package revision

// This file builds the workspaces of a table and finds the workspace of a key.

import (
	"crypto/sha256"
	"math"
	"strings"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// maxWorkspaceName bounds the name of a workspace, in bytes. The name is sent in the
// header of each call of the workspace.
const maxWorkspaceName = 256

// keyDigest is the SHA-256 digest of a key.
type keyDigest [sha256.Size]byte

// maxQuota bounds rates and bursts, so that sums and products of them stay finite.
const maxQuota = 1e15

// maxStackKey is the length in bytes up to which a key is hashed without allocation.
const maxStackKey = 256

// NeedsKeys reports whether callers need a key on routes that are not open.
func (t *Table) NeedsKeys() bool { return t.keyed }

// HasQuotas reports whether a workspace has a quota.
func (t *Table) HasQuotas() bool {
	for _, w := range t.Workspaces {
		if w.Rate > 0 {
			return true
		}
	}
	return false
}

// Workspace returns the workspace that a key belongs to, or nil if no workspace
// has it.
func (t *Table) Workspace(key string) *record.Workspace {
	if key == "" || len(t.digests) == 0 {
		return nil
	}
	if len(key) > maxStackKey {
		return t.digests[sha256.Sum256([]byte(key))]
	}
	var buf [maxStackKey]byte
	return t.digests[sha256.Sum256(buf[:copy(buf[:], key)])]
}

// addWorkspaces adds the workspaces of a document to the table. It returns ErrInvalid
// when a workspace has no valid name, priority or quota, when a name occurs twice, or
// when two workspaces have the same key: one of them would get the other's calls.
func (t *Table) addWorkspaces(d *wire.Document) error {
	t.keyed = d.GetKeyed() || len(d.GetWorkspaces()) > 0
	t.Workspaces = make(map[string]*record.Workspace, len(d.GetWorkspaces()))
	t.digests = make(map[keyDigest]*record.Workspace, len(d.GetWorkspaces()))
	for _, msg := range d.GetWorkspaces() {
		w, err := convertWorkspace(msg)
		if err != nil {
			return err
		}
		if t.Workspaces[w.Name] != nil {
			return errors.Wrapf(ErrInvalid, "workspace %q occurs twice", w.Name)
		}
		t.Workspaces[w.Name] = w
		for _, digest := range msg.GetDigests() {
			if len(digest) != sha256.Size {
				return errors.Wrapf(ErrInvalid, "workspace %q has a digest of %d bytes", w.Name, len(digest))
			}
			if other := t.digests[keyDigest(digest)]; other != nil && other != w {
				return errors.Wrapf(ErrInvalid, "workspaces %q and %q have the same key", other.Name, w.Name)
			}
			t.digests[keyDigest(digest)] = w
		}
	}
	return nil
}

func convertWorkspace(msg *wire.DocumentWorkspace) (*record.Workspace, error) {
	w := &record.Workspace{Name: msg.GetName(), Rate: min(msg.GetRate(), maxQuota), Burst: min(msg.GetBurst(), maxQuota)}
	if reason := InvalidWorkspaceName(w.Name); reason != "" {
		return nil, errors.Wrapf(ErrInvalid, "workspace %q: name %s", w.Name, reason)
	}
	if !isQuota(msg.GetRate()) || !isQuota(msg.GetBurst()) {
		return nil, errors.Wrapf(ErrInvalid, "workspace %q: rate %v and burst %v must be finite and not negative", w.Name, msg.GetRate(), msg.GetBurst())
	}
	if msg.Priority != nil {
		if msg.GetPriority() > math.MaxInt32 {
			return nil, errors.Wrapf(ErrInvalid, "workspace %q: priority %d is above %d", w.Name, msg.GetPriority(), math.MaxInt32)
		}
		priority := int(msg.GetPriority())
		w.Priority = &priority
	}
	return w, nil
}

// InvalidWorkspaceName returns why a workspace can't have the name, or "". The name
// must be the value of a header that arrives as it was sent.
func InvalidWorkspaceName(name string) string {
	isControl := func(r rune) bool { return r < ' ' || r == 0x7f }
	switch {
	case name == "":
		return "is missing"
	case len(name) > maxWorkspaceName:
		return "is too long"
	case strings.ContainsFunc(name, isControl):
		return "has a control character"
	case strings.TrimSpace(name) != name:
		return "begins or ends with a space"
	}
	return ""
}

// isQuota reports whether a number is a valid rate or burst.
func isQuota(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }
