package revision

// This file builds tables of configurations that have not been sent yet, with the same
// decisions as for those that are in force.

import (
	"caroblift.dev/mesh/record"
	"caroblift.dev/wire"
)

// Preview returns the table that records would make, and the records that would be held
// back with the reasons. Each record needs a version above 0.
func Preview(records []*wire.Record) (*Table, []*wire.Held, error) {
	composed := Compose(&Table{}, records, NewestFormat)
	b := &builder{
		parent: &Table{}, maxFormat: NewestFormat, changedKinds: map[wire.Kind]bool{},
		next: &Table{Number: 1, Held: composed.Held, Records: map[record.Key]*wire.Record{}},
	}
	for _, r := range composed.Changed {
		if err := b.put(r); err != nil {
			return nil, nil, err
		}
	}
	t, err := b.finish()
	return t, composed.Held, err
}

// PreviewDocument returns the table that a document would make.
func PreviewDocument(d *wire.Document) (*Table, error) {
	s, err := NewDocument(1, d)
	if err != nil {
		return nil, err
	}
	return fromDocument(s)
}
