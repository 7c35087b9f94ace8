package main

// This file reads the names of the users' platform from a data file, since they may stand in
// no source file outside platform/ and deploy/.

import (
	_ "embed"
	"strings"
)

//go:embed names.txt
var namesText string

// names maps keys of names.txt to the names of the platform.
var names = parseNames(namesText)

func parseNames(text string) map[string]string {
	parsed := map[string]string{}
	for line := range strings.Lines(text) {
		key, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		if ok && !strings.HasPrefix(key, "#") {
			parsed[key] = value
		}
	}
	return parsed
}

// name returns a name of the platform. An unknown key is a mistake in this program.
func name(key string) string {
	value, ok := names[key]
	if !ok {
		panic("names.txt has no key " + key)
	}
	return value
}
