package record

// This file validates the string formats that a schema rule can require.

import (
	"net/mail"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// Limits of strings.
const (
	maxHostBytes   = 253
	maxLabelBytes  = 63
	maxPrefixBytes = 1024
	maxTextBytes   = 200
)

// formChecks maps the forms of schema rules to their validation functions. The
// form "duration" is missing because its limit depends on the rule.
var formChecks = map[string]func(string) error{
	"name":   checkName,
	"host":   checkHost,
	"prefix": checkPrefix,
	"method": checkMethod,
	"mail":   checkMail,
	"text":   checkText,
}

// nameChars holds the characters of record names and of host name labels.
const nameChars = "abcdefghijklmnopqrstuvwxyz0123456789-"

func checkName(s string) error {
	if len(s) > maxNameBytes {
		return errors.Errorf("has %d bytes; %d are allowed", len(s), maxNameBytes)
	}
	if strings.Trim(s, nameChars) != "" {
		return errors.Errorf("%q holds characters other than a-z, 0-9 and -", s)
	}
	return nil
}

func checkHost(s string) error {
	if len(s) > maxHostBytes {
		return errors.Errorf("has %d bytes; %d are allowed", len(s), maxHostBytes)
	}
	for label := range strings.SplitSeq(strings.ToLower(s), ".") {
		if label == "" || len(label) > maxLabelBytes || strings.Trim(label, nameChars) != "" ||
			strings.HasPrefix(label, "-") || strings.HasSuffix(label, "-") {
			return errors.Errorf("%q is not a host name without port", s)
		}
	}
	return nil
}

func checkPrefix(s string) error {
	if len(s) > maxPrefixBytes {
		return errors.Errorf("has %d bytes; %d are allowed", len(s), maxPrefixBytes)
	}
	if !strings.HasPrefix(s, "/") {
		return errors.Errorf("%q does not start with a slash", s)
	}
	for _, r := range s {
		if r <= ' ' || r == 0x7f || strings.ContainsRune(`?#\`, r) {
			return errors.Errorf("%q holds a character that is not allowed in a path", s)
		}
	}
	for segment := range strings.SplitSeq(strings.Trim(s, "/"), "/") {
		if segment == "." || segment == ".." || (segment == "" && len(s) > 1) {
			return errors.Errorf("%q has an empty or relative segment", s)
		}
	}
	if strings.HasSuffix(s, "//") {
		return errors.Errorf("%q has an empty or relative segment", s)
	}
	return nil
}

func checkMethod(s string) error {
	if strings.Trim(s, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-") != "" || len(s) > maxTextBytes {
		return errors.Errorf("%q is not an HTTP method in capital letters", s)
	}
	return nil
}

func checkMail(s string) error {
	if a, err := mail.ParseAddress(s); err != nil || a.Address != s {
		return errors.Errorf("%q is not a mail address", s)
	}
	return nil
}

func checkText(s string) error {
	if len(s) > maxTextBytes {
		return errors.Errorf("has %d bytes; %d are allowed", len(s), maxTextBytes)
	}
	if !utf8.ValidString(s) {
		return errors.Errorf("%q is not valid UTF-8", s)
	}
	return nil
}

// checkDuration validates a Go duration between zero and maxMillis
// milliseconds.
func checkDuration(s string, maxMillis int64) error {
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Errorf("%q is not a duration such as \"250ms\"", s)
	}
	if limit := time.Duration(maxMillis) * time.Millisecond; v < 0 || v > limit {
		return errors.Errorf("%q is outside 0 to %s", s, limit)
	}
	return nil
}

func checkHeader(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return errors.Errorf("%q is not a header name", name)
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return errors.Errorf("%q is not a header value", value)
	}
	return nil
}
