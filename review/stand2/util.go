package main

import (
	"bytes"
	"io"
	"strings"
)

func bytesReader(b []byte) io.Reader   { return bytes.NewReader(b) }
func contains(s, part string) bool { return strings.Contains(s, part) }
