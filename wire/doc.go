// Package wire holds the messages that nodes, operators and the platform's
// objects are made of.
//
// Everything but this file is generated from the schema folder by generate.sh,
// and committed so that a build needs no generator.
//
// # Usage
//
//	rec := &wire.Record{Kind: wire.Kind_KIND_ROUTE, Name: "quotes", Schema: 2, Body: body}
//	data, err := proto.Marshal(rec)
package wire
