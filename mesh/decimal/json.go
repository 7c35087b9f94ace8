package decimal

// This file decodes the numbers of JSON documents.

import "fmt"

// UnmarshalJSON implements json.Unmarshaler. It returns an error for a value that is no
// number; null changes nothing.
func (n *Number) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		return nil
	}
	parsed, err := Parse(string(data))
	if err == nil {
		*n = parsed
	}
	return err
}

// Whole is a whole number from 0, decoded from JSON by its value.
type Whole uint64

// UnmarshalJSON implements json.Unmarshaler. It returns an error for a value that is no
// number, and for a number that Number.Uint64 refuses; null changes nothing.
func (w *Whole) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		return nil
	}
	n, err := Parse(string(data))
	if err != nil {
		return err
	}
	v, ok := n.Uint64()
	if !ok {
		return fmt.Errorf("%s is not a whole number from 0 to 2^64-1", Quote(string(data)))
	}
	*w = Whole(v)
	return nil
}
