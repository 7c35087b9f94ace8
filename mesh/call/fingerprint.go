package call

// This file identifies requests by their content, so that what happened to one call can
// be held against the next one with the same content, whoever sends it and wherever it
// enters.

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies the requests that a backend server can't tell apart but by their
// headers: those with the same service, host, method, target and body. Headers are left
// out, since callers put an ID or a time of their own into each request.
//
// It is a part of a cryptographic hash. Nobody can craft a request with the fingerprint of
// another one, so that the other one is refused, and nobody learns a path or a body from
// one in a log or in a message of another node, unless they know it and only ask.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal, for log lines and HeaderFingerprint.
func (f Fingerprint) String() string {
	var text [2 * len(f)]byte
	hex.Encode(text[:], f[:])
	return string(text[:])
}

// ParseFingerprint parses what String returns. It returns false for other texts.
func ParseFingerprint(text string) (f Fingerprint, ok bool) {
	if len(text) != 2*len(f) {
		return Fingerprint{}, false
	}
	if _, err := hex.Decode(f[:], []byte(text)); err != nil {
		return Fingerprint{}, false
	}
	return f, true
}

// fingerprintBuffer is the length up to which a request is hashed without a heap
// allocation, in bytes.
const fingerprintBuffer = 1024

// FingerprintOf returns the fingerprint of a request. target is its path and query as they
// were received. body is nil if there is none or if it isn't held: requests with a body
// that is streamed differ by the rest only.
func FingerprintOf(service, host, method, target string, body []byte) Fingerprint {
	var buffer [fingerprintBuffer]byte
	b := buffer[:0]
	for _, part := range []string{service, host, method, target} {
		b = append(binary.AppendUvarint(b, uint64(len(part))), part...)
	}
	if len(body) <= fingerprintBuffer/2 {
		b = append(b, body...)
	} else {
		sum := sha256.Sum256(body)
		b = append(b, sum[:]...)
	}
	b = binary.AppendUvarint(b, uint64(len(body)))
	sum := sha256.Sum256(b)
	return Fingerprint(sum[:len(Fingerprint{})])
}
