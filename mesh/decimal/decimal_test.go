package decimal

import (
	"cmp"
	"encoding/json"
	"flag"
	"math"
	"math/big"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		_ = flag.Set(name, value)
	}
}

// TestNumbersBySpelling guards against a number that is read differently, or not at all, for the way it is spelled.
func TestNumbersBySpelling(t *testing.T) {
	zeros := strings.Repeat("0", 100)
	for name, c := range map[string]struct {
		spellings []string
		whole     bool
		value     uint64 // the number if it is whole, else its floor
		float     float64
	}{
		"75":             {[]string{"75", "75.0", "7.5e1", "7.5E+1", "750e-1", "0.075e3", "075", "+75", "75." + zeros, "75" + zeros + "e-100"}, true, 75, 75},
		"zero":           {[]string{"0", "-0", "0.0", "0e999999999999999999999", "-0.00e-5"}, true, 0, 0},
		"three quarters": {[]string{"0.75", "75e-2", ".75", "0.750", "7.5e-1"}, false, 0, 0.75},
		"two and a half": {[]string{"2.5", "25e-1", "0.25e1", "2.5" + zeros}, false, 2, 2.5},
		"above 2^53":     {[]string{"9007199254740993", "9007199254740993.0", "9.007199254740993e15", "90071992547409930e-1"}, true, 9007199254740993, 9007199254740992},
		"largest":        {[]string{"18446744073709551615", "1.8446744073709551615e19"}, true, math.MaxUint64, 1 << 64},
		"one more":       {[]string{"18446744073709551616", "18446744073709551616.0"}, false, math.MaxUint64, 1 << 64},
		"negative":       {[]string{"-1", "-1.0", "-10e-1"}, false, 0, -1},
		"too large":      {[]string{"1e400", "1e999999999", "1e99999999999999999999", "1" + zeros + zeros + zeros + zeros}, false, math.MaxUint64, math.MaxFloat64},
		"too small":      {[]string{"1e-400", "1e-999999999", "1e-99999999999999999999"}, false, 0, 0},
		"almost one":     {[]string{"0." + strings.Repeat("9", 30)}, false, 0, 1},
		"one and a bit":  {[]string{"1." + zeros + "1"}, false, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			for _, text := range c.spellings {
				n, err := Parse(text)
				require.NoError(t, err, text)
				v, whole := n.Uint64()
				require.Equal(t, c.whole, whole, text)
				if whole {
					require.Equal(t, c.value, v, text)
				}
				require.Equal(t, c.value, n.Floor(math.MaxUint64), text)
				require.Equal(t, min(c.value, 3), n.Floor(3), text)
				require.Equal(t, c.float, n.Float64(), text)
			}
		})
	}
}

// TestNoNumbers guards against texts that strconv takes and that are no decimal numbers.
func TestNoNumbers(t *testing.T) {
	for _, text := range []string{"", "NaN", "Inf", "-Infinity", "0x10", "0x1p4", "1_000", "1e", "1e+", "e1", ".", "-", "+-1", "1.2.3", "1 ", " 1", "1e1.5", "1,5", "٣"} {
		_, err := Parse(text)
		require.Error(t, err, text)
	}
	_, err := Parse(strings.Repeat("x", 1<<20))
	require.Less(t, len(err.Error()), 100)
}

// TestNumbersOfDocuments guards against a JSON value of another type that counts as a number.
func TestNumbersOfDocuments(t *testing.T) {
	for text, want := range map[string]uint64{`4.0`: 4, `null`: 7, `4e0`: 4, `18446744073709551615`: math.MaxUint64} {
		w := Whole(7)
		require.NoError(t, json.Unmarshal([]byte(text), &w), text)
		require.EqualValues(t, want, w, text)
	}
	for _, text := range []string{`"4"`, `true`, `{}`, `[4]`, `4.5`, `-1`, `1e999999999`} {
		require.Error(t, json.Unmarshal([]byte(text), new(Whole)), text)
	}
	for _, text := range []string{`"4"`, `true`, `{}`, `[4]`} {
		require.Error(t, json.Unmarshal([]byte(text), new(Number)), text)
	}
}

// TestNumbersMatchRationals compares numbers with exact arithmetic, in spellings drawn at random.
func TestNumbersMatchRationals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`-?[0-9]{1,30}(\.[0-9]{1,30})?([eE][-+]?[0-9]{1,2})?`).Draw(t, "text")
		n, err := Parse(text)
		require.NoError(t, err)
		want, ok := new(big.Rat).SetString(text)
		require.True(t, ok)
		require.Equal(t, want.Sign(), n.Sign())
		v, whole := n.Uint64()
		require.Equal(t, want.IsInt() && want.Num().IsUint64(), whole)
		if whole {
			require.Equal(t, want.Num().Uint64(), v)
		}
		float, err := strconv.ParseFloat(text, 64)
		require.NoError(t, err)
		require.Equal(t, float, n.Float64())
		other := rapid.StringMatching(`-?[0-9]{1,3}(\.[0-9]{1,3})?([eE][-+]?[0-9])?`).Draw(t, "other")
		o, err := Parse(other)
		require.NoError(t, err)
		otherValue, _ := new(big.Rat).SetString(other)
		require.Equal(t, want.Cmp(otherValue), Compare(n, o))
	})
}

// TestCompareBySpelling guards against an order that depends on spellings or needs the power of an exponent.
func TestCompareBySpelling(t *testing.T) {
	ascending := [][]string{{"-1e999999999"}, {"-2", "-2.0"}, {"-0.5"}, {"0", "-0", "0e9"}, {"1e-999999999"}, {"0.5", "5e-1"}, {"1", "1.0", "10e-1"}, {"1.5"}, {"2"}, {"10", "1e1"}, {"1e999999998"}, {"1e999999999", "10e999999998"}}
	for i, low := range ascending {
		for j, high := range ascending {
			for _, a := range parseAll(t, low...) {
				for _, b := range parseAll(t, high...) {
					require.Equal(t, cmp.Compare(i, j), Compare(a, b), "%s and %s", a, b)
				}
			}
		}
	}
}

const shareLimit = math.MaxInt32

func parseAll(t require.TestingT, texts ...string) []Number {
	out := make([]Number, len(texts))
	for i, text := range texts {
		n, err := Parse(text)
		require.NoError(t, err)
		out[i] = n
	}
	return out
}

// TestShares guards against proportions that are refused, or of which a part gets nothing, for their size or spelling.
func TestShares(t *testing.T) {
	for name, c := range map[string]struct {
		parts []string
		want  []uint32
	}{
		"whole":                {[]string{"90", "10"}, []uint32{90, 10}},
		"with points":          {[]string{"75.0", "2.5e1"}, []uint32{75, 25}},
		"fractions":            {[]string{"0.75", "0.25"}, []uint32{3, 1}},
		"thirds":               {[]string{"0.1", "0.2"}, []uint32{1, 2}},
		"very small":           {[]string{"3e-9", "1e-9"}, []uint32{3, 1}},
		"very large":           {[]string{"75e18", "25e18"}, []uint32{3, 1}},
		"huge exponents":       {[]string{"3e999999999", "1e999999999", "0"}, []uint32{3, 1, 0}},
		"beyond every float":   {[]string{"75" + strings.Repeat("0", 400), "25" + strings.Repeat("0", 400)}, []uint32{3, 1}},
		"a small part":         {[]string{"1e30", "1e-30"}, []uint32{shareLimit - 1, 1}},
		"a part far below":     {[]string{"1e999999999", "1"}, []uint32{shareLimit - 1, 1}},
		"two parts far below":  {[]string{"1e400", "1", "1e-400", "0"}, []uint32{shareLimit - 2, 1, 1, 0}},
		"one part":             {[]string{"0.5"}, []uint32{1}},
		"one part and nothing": {[]string{"0.5", "0e5"}, []uint32{1, 0}},
		"sum at the limit":     {[]string{"2147483646", "1"}, []uint32{2147483646, 1}},
		"sum above the limit":  {[]string{"2147483647", "2147483647"}, []uint32{1, 1}},
		"none":                 {nil, nil},
		"nothing above 0":      {[]string{"0", "-0.0"}, nil},
		"negative":             {[]string{"1", "-1e-9"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := Shares(parseAll(t, c.parts...), shareLimit)
			require.Equal(t, c.want != nil, ok)
			require.Equal(t, c.want, got)
		})
	}
}

// TestSharesKeepProportions guards against shares that are off, and against spellings that change them.
func TestSharesKeepProportions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		texts := rapid.SliceOfN(rapid.StringMatching(`[0-9]{1,20}(\.[0-9]{1,20})?(e[-+]?[0-9]{1,2})?`), 1, 8).Draw(t, "parts")
		values, sum := make([]*big.Rat, len(texts)), new(big.Rat)
		for i, text := range texts {
			values[i], _ = new(big.Rat).SetString(text)
			sum.Add(sum, values[i])
		}
		shares, ok := Shares(parseAll(t, texts...), shareLimit)
		require.Equal(t, sum.Sign() > 0, ok)
		if !ok {
			return
		}
		total := uint64(0)
		for _, s := range shares {
			total += uint64(s)
		}
		require.LessOrEqual(t, total, uint64(shareLimit))
		for i, v := range values {
			require.Equal(t, v.Sign() > 0, shares[i] > 0)
			want, _ := new(big.Rat).Quo(v, sum).Float64()
			require.InDelta(t, want, float64(shares[i])/float64(total), 1e-8)
		}
		if !strings.Contains(texts[0], "e") {
			texts[0] = "00" + texts[0] + "e0"
		}
		respelled, _ := Shares(parseAll(t, texts...), shareLimit)
		require.Equal(t, shares, respelled)
	})
}

// FuzzShares guards against parts that take time or memory beyond their texts.
func FuzzShares(f *testing.F) {
	f.Add("1e999999999", "1e-999999999")
	f.Add("9223372036854775807e9223372036854775807", "1")
	f.Fuzz(func(t *testing.T, a, b string) {
		first, err := Parse(a)
		if err != nil {
			return
		}
		second, err := Parse(b)
		if err != nil {
			return
		}
		shares, ok := Shares([]Number{first, second}, shareLimit)
		require.Equal(t, first.Sign() >= 0 && second.Sign() >= 0 && first.Sign()+second.Sign() > 0, ok)
		if ok {
			require.Equal(t, first.Sign() > 0, shares[0] > 0)
			require.Equal(t, second.Sign() > 0, shares[1] > 0)
		}
	})
}

// BenchmarkWhole measures the numbers of a heartbeat.
func BenchmarkWhole(b *testing.B) {
	b.ReportAllocs()
	data := []byte("1700000000000")
	for b.Loop() {
		var w Whole
		_ = w.UnmarshalJSON(data)
	}
}
