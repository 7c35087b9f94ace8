// Package decimal reads decimal numbers by their value, however they are spelled: 75,
// 75.0, 7.5e1 and 750e-1 are one number. Numbers that others write are read here, so that
// all nodes take them for the same.
//
// Every operation takes time and memory in proportion to the texts, whatever their
// exponents.
//
// # Usage
//
//	n, err := decimal.Parse("7.5e1")
//	if err != nil {
//		return err
//	}
//	slots, whole := n.Uint64() // 75, true
package decimal

import (
	"cmp"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Number is a decimal number. The zero value is the number 0.
type Number struct{ text string }

// maxExponent bounds the magnitude of an exponent; one beyond it counts as the bound. It
// is far above the number of digits of any text.
const maxExponent = 1e15

// Parse returns the number that a text denotes: an optional sign, digits with an optional
// point, and an optional exponent, as in JSON, in which leading zeros are allowed too. Not
// numbers are the names of infinity and NaN, hexadecimal forms, digit separators and
// blanks.
func Parse(text string) (Number, error) {
	if !isDecimal(text) {
		return Number{}, fmt.Errorf("%s is not a decimal number", Quote(text))
	}
	return Number{text}, nil
}

// isDecimal reports whether a text has the form that Parse takes.
func isDecimal(text string) bool {
	text = trimSign(text)
	whole := countDigits(text)
	fraction := 0
	if text = text[whole:]; text != "" && text[0] == '.' {
		fraction = countDigits(text[1:])
		text = text[1+fraction:]
	}
	if whole+fraction == 0 {
		return false
	}
	if text == "" {
		return true
	}
	if text[0] != 'e' && text[0] != 'E' {
		return false
	}
	text = trimSign(text[1:])
	return text != "" && countDigits(text) == len(text)
}

func trimSign(text string) string {
	if text != "" && (text[0] == '-' || text[0] == '+') {
		return text[1:]
	}
	return text
}

// countDigits returns the number of digits with which a text begins.
func countDigits(text string) int {
	n := 0
	for n < len(text) && '0' <= text[n] && text[n] <= '9' {
		n++
	}
	return n
}

// maxQuoted bounds the part of a text that is quoted, in bytes.
const maxQuoted = 40

// Quote returns a text for a message, shortened if it is long.
func Quote(text string) string {
	if len(text) > maxQuoted {
		return strconv.Quote(text[:maxQuoted]) + "..."
	}
	return strconv.Quote(text)
}

// String returns the number as it was written.
func (n Number) String() string {
	if n.text == "" {
		return "0"
	}
	return n.text
}

// Sign returns -1, 0 or 1 for a number below, equal to or above 0.
func (n Number) Sign() int {
	for i := range len(n.text) {
		switch c := n.text[i]; {
		case c == 'e', c == 'E':
			return 0
		case '1' <= c && c <= '9' && n.text[0] == '-':
			return -1
		case '1' <= c && c <= '9':
			return 1
		}
	}
	return 0
}

// plain returns the value of a number that is written as a few digits, which most are.
func (n Number) plain() (v uint64, ok bool) {
	if len(n.text) > 19 { // more may exceed a uint64
		return 0, false
	}
	for i := range len(n.text) {
		c := n.text[i]
		if c < '0' || c > '9' {
			return 0, false
		}
		v = 10*v + uint64(c-'0')
	}
	return v, true
}

// Uint64 returns the number exactly, and false if it is negative, is not whole, or is
// above the largest uint64.
func (n Number) Uint64() (v uint64, ok bool) {
	if v, ok := n.plain(); ok {
		return v, true
	}
	return n.parts().truncate(math.MaxUint64)
}

// Floor returns the largest whole number that is not above n, at least 0 and at most
// limit.
func (n Number) Floor(limit uint64) uint64 {
	if v, ok := n.plain(); ok {
		return min(v, limit)
	}
	v, _ := n.parts().truncate(limit)
	return v
}

// Float64 returns the nearest float64. A number beyond the range of float64 gives the
// largest or lowest one, never an infinity.
func (n Number) Float64() float64 {
	if n.Sign() == 0 {
		return 0 // also for -0
	}
	v, _ := strconv.ParseFloat(n.text, 64) // the text is a decimal number, so the only error is that of its range
	return max(-math.MaxFloat64, min(v, math.MaxFloat64))
}

// Compare returns -1, 0 or 1 for a number a below, equal to or above b.
func Compare(a, b Number) int {
	if order := cmp.Compare(a.Sign(), b.Sign()); order != 0 || a.Sign() == 0 {
		return order
	}
	return a.Sign() * compareMagnitudes(a.parts(), b.parts())
}

// compareMagnitudes compares two numbers other than 0 without their signs.
func compareMagnitudes(a, b parts) int {
	digitsA, beginA := a.significand()
	digitsB, beginB := b.significand()
	if beginA != beginB {
		return cmp.Compare(beginA, beginB)
	}
	return strings.Compare(digitsA, digitsB)
}

// parts is a number taken apart: whole.fraction × 10^exponent.
type parts struct {
	negative        bool
	whole, fraction string // digits, without zeros at the outer ends
	exponent        int64
}

func (n Number) parts() parts {
	p := parts{negative: strings.HasPrefix(n.text, "-")}
	mantissa := trimSign(n.text)
	if i := strings.IndexAny(mantissa, "eE"); i >= 0 {
		p.exponent = parseExponent(mantissa[i+1:])
		mantissa = mantissa[:i]
	}
	p.whole, p.fraction, _ = strings.Cut(mantissa, ".")
	p.whole, p.fraction = strings.TrimLeft(p.whole, "0"), strings.TrimRight(p.fraction, "0")
	return p
}

// parseExponent returns an exponent within the bounds of maxExponent.
func parseExponent(text string) int64 {
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil && strings.HasPrefix(text, "-") {
		return -maxExponent
	}
	if err != nil {
		return maxExponent
	}
	return max(-maxExponent, min(v, maxExponent))
}

// significand returns the digits from the first to the last one other than 0, and the
// decimal place of the first: 1 for units.
func (p parts) significand() (digits string, begin int64) {
	all := p.whole + p.fraction
	digits = strings.TrimLeft(all, "0")
	begin = p.exponent + int64(len(p.whole)-(len(all)-len(digits)))
	return strings.TrimRight(digits, "0"), begin
}

func (p parts) isZero() bool { return p.whole == "" && p.fraction == "" }

// truncate returns the whole part of the number, at least 0 and at most limit, and
// whether that is the number itself.
func (p parts) truncate(limit uint64) (v uint64, exact bool) {
	if p.isZero() {
		return 0, true
	}
	if p.negative {
		return 0, false
	}
	digits := int64(len(p.whole)) + p.exponent // before the point
	at := int64(0)
	for _, text := range [2]string{p.whole, p.fraction} {
		for i := range len(text) {
			if at >= digits {
				if strings.Trim(text[i:], "0") != "" {
					return v, false
				}
				break
			}
			d := uint64(text[i] - '0')
			if d > limit || v > (limit-d)/10 {
				return limit, false
			}
			v = 10*v + d
			at++
		}
	}
	for ; at < digits && v > 0; at++ {
		if v > limit/10 {
			return limit, false
		}
		v *= 10
	}
	return v, true
}
