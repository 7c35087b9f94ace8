package decimal

// This file turns proportions into whole numbers.

import (
	"math"
	"math/big"
	"strings"
)

// Limits of what Shares computes with. A part that begins more than maxPlaces decimal places
// below the largest one, and the digits of a part beyond maxDigits, matter less than the
// rounding of the shares does.
const (
	maxPlaces = 40
	maxDigits = 40
)

// Shares returns whole numbers in the proportions of the parts. Their sum is at most limit,
// and those of parts above 0 are at least 1. Parts that are whole with a sum up to limit are
// returned as they are. Otherwise the proportions are exact if the limit allows it, and
// else off by len(parts)/limit at most.
//
// Shares returns false if a part is negative, no part is above 0, or there are more parts
// than limit/2. The result depends on the values of the parts only.
func Shares(parts []Number, limit uint32) ([]uint32, bool) {
	above := 0
	for _, n := range parts {
		switch n.Sign() {
		case -1:
			return nil, false
		case 1:
			above++
		}
	}
	if above == 0 || uint64(len(parts)) > uint64(limit)/2 {
		return nil, false
	}
	if shares, ok := wholeShares(parts, uint64(limit)); ok {
		return shares, true
	}
	scaled, exact := scale(parts)
	if exact {
		if shares, ok := reduce(scaled, limit); ok {
			return shares, true
		}
	}
	sum := new(big.Int)
	for _, v := range scaled {
		sum.Add(sum, v)
	}
	shares, room := make([]uint32, len(parts)), big.NewInt(int64(limit)-int64(above))
	for i, v := range scaled {
		if parts[i].Sign() > 0 {
			shares[i] = 1 + uint32(v.Mul(v, room).Quo(v, sum).Uint64())
		}
	}
	return shares, true
}

// wholeShares returns the parts themselves if they are whole and their sum is at most
// limit.
func wholeShares(parts []Number, limit uint64) ([]uint32, bool) {
	shares, sum := make([]uint32, len(parts)), uint64(0)
	for i, n := range parts {
		v, ok := n.Uint64()
		if !ok || v > limit-sum {
			return nil, false
		}
		shares[i], sum = uint32(v), sum+v
	}
	return shares, true
}

// scale returns integers in the proportions of numbers from 0, and whether they are exact.
// The integer of a number that is too small to matter is 0.
func scale(numbers []Number) ([]*big.Int, bool) {
	type significand struct {
		digits string
		begin  int64 // decimal place of the first digit
	}
	parts, exact := make([]significand, len(numbers)), true
	highest, lowest := int64(math.MinInt64), int64(math.MaxInt64) // decimal places
	for i, n := range numbers {
		if n.Sign() > 0 {
			parts[i].digits, parts[i].begin = n.parts().significand()
			highest = max(highest, parts[i].begin)
		}
	}
	for i, p := range parts {
		if p.digits == "" {
			continue
		}
		if p.begin < highest-maxPlaces {
			parts[i].digits, exact = "", false
			continue
		}
		if len(p.digits) > maxDigits {
			parts[i].digits, exact = p.digits[:maxDigits], false
		}
		lowest = min(lowest, p.begin-int64(len(parts[i].digits)))
	}
	scaled := make([]*big.Int, len(numbers))
	for i, p := range parts {
		scaled[i] = new(big.Int)
		if p.digits != "" {
			end := p.begin - int64(len(p.digits))
			scaled[i].SetString(p.digits+strings.Repeat("0", int(end-lowest)), 10)
		}
	}
	return scaled, exact
}

// reduce divides integers by their greatest common divisor, and returns false if their sum
// is above limit then.
func reduce(scaled []*big.Int, limit uint32) ([]uint32, bool) {
	divisor, sum := new(big.Int), new(big.Int)
	for _, v := range scaled {
		divisor.GCD(nil, nil, divisor, v)
		sum.Add(sum, v)
	}
	if sum.Quo(sum, divisor).Cmp(big.NewInt(int64(limit))) > 0 {
		return nil, false
	}
	shares := make([]uint32, len(scaled))
	for i, v := range scaled {
		shares[i] = uint32(new(big.Int).Quo(v, divisor).Uint64())
	}
	return shares, true
}
