package record

// This file checks the forms that a text in a record may have.

import (
	"net/mail"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// Bounds of texts, in bytes.
const (
	maxHost   = 253
	maxLabel  = 63
	maxPrefix = 1024
	maxText   = 200
)

// forms maps the name of a form in the schema to its check.
var forms = map[string]func(string) error{
	"name":   checkName,
	"host":   checkHost,
	"prefix": checkPrefix,
	"method": checkMethod,
	"mail":   checkMail,
	"text":   checkText,
}

const nameLetters = "abcdefghijklmnopqrstuvwxyz0123456789-"

func checkName(s string) error {
	if len(s) > maxName {
		return errors.Errorf("has %d bytes; %d are allowed", len(s), maxName)
	}
	if strings.Trim(s, nameLetters) != "" {
		return errors.Errorf("%q holds characters other than a-z, 0-9 and -", s)
	}
	return nil
}

func checkHost(s string) error {
	if len(s) > maxHost {
		return errors.Errorf("has %d bytes; %d are allowed", len(s), maxHost)
	}
	for label := range strings.SplitSeq(strings.ToLower(s), ".") {
		if label == "" || len(label) > maxLabel || strings.Trim(label, nameLetters) != "" ||
			strings.HasPrefix(label, "-") || strings.HasSuffix(label, "-") {
			return errors.Errorf("%q is not a host name without port", s)
		}
	}
	return nil
}

func checkPrefix(s string) error {
	if len(s) > maxPrefix {
		return errors.Errorf("has %d bytes; %d are allowed", len(s), maxPrefix)
	}
	if !strings.HasPrefix(s, "/") {
		return errors.Errorf("%q does not start with a slash", s)
	}
	for _, r := range s {
		if r <= ' ' || r == 0x7f || strings.ContainsRune(`?#\`, r) {
			return errors.Errorf("%q holds a character that no path holds", s)
		}
	}
	for part := range strings.SplitSeq(strings.Trim(s, "/"), "/") {
		if part == "." || part == ".." || (part == "" && len(s) > 1) {
			return errors.Errorf("%q has an empty or relative segment", s)
		}
	}
	if strings.HasSuffix(s, "//") {
		return errors.Errorf("%q has an empty or relative segment", s)
	}
	return nil
}

func checkMethod(s string) error {
	if strings.Trim(s, "ABCDEFGHIJKLMNOPQRSTUVWXYZ-") != "" || len(s) > maxText {
		return errors.Errorf("%q is not a method in capitals", s)
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
	if len(s) > maxText {
		return errors.Errorf("has %d bytes; %d are allowed", len(s), maxText)
	}
	if !utf8.ValidString(s) {
		return errors.Errorf("%q is not valid UTF-8", s)
	}
	return nil
}

func checkDuration(s string, most int64) error {
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Errorf("%q is not a duration such as \"250ms\"", s)
	}
	if bound := time.Duration(most) * time.Millisecond; v < 0 || v > bound {
		return errors.Errorf("%q is outside 0 to %s", s, bound)
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
