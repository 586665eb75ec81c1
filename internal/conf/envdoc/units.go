package envdoc

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
	gibibyte = 1 << 30
	tebibyte = 1 << 40

	// maxAmount is the largest magnitude of a number before it is multiplied by its unit.
	maxAmount = 1 << 50
)

// sizeUnit is a unit of memory or traffic, with its size in bytes.
type sizeUnit struct {
	suffix string
	bytes  float64
}

var sizeUnits = []sizeUnit{
	{suffix: "TiB", bytes: tebibyte},
	{suffix: "GiB", bytes: gibibyte},
	{suffix: "MiB", bytes: mebibyte},
	{suffix: "KiB", bytes: kibibyte},
	{suffix: "B", bytes: 1},
}

// ParseDuration parses a duration with its unit, as in 30s. Only 0 may stand without a unit.
func ParseDuration(text string) (time.Duration, error) {
	if _, err := strconv.ParseFloat(text, 64); err == nil && text != "0" {
		return 0, fmt.Errorf("%q has no unit", text)
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("%q is not a duration", text)
	}
	return d, nil
}

// ParseCores parses a number of cores, as in 2.5, or thousandths of a core, as in 2500m.
func ParseCores(text string) (types.MilliCores, error) {
	if thousandths, ok := strings.CutSuffix(text, "m"); ok {
		value, err := strconv.ParseInt(thousandths, 10, 32)
		if err != nil {
			return 0, fmt.Errorf("%q is not a number of cores", text)
		}
		return types.MilliCores(value), nil
	}
	value, err := parseNumber(text)
	if err != nil {
		return 0, fmt.Errorf("%q is not a number of cores", text)
	}
	scaled := math.Round(value * float64(types.Core))
	if math.Abs(scaled-value*float64(types.Core)) > 1e-6 {
		return 0, fmt.Errorf("%q is finer than a thousandth of a core", text)
	}
	return types.MilliCores(scaled), nil
}

// ParseMemory parses an amount of memory with its unit, as in 16GiB. It must be a whole number of MiB.
func ParseMemory(text string) (types.MiB, error) {
	size, err := ParseBytes(text)
	if err != nil {
		return 0, err
	}
	if size%mebibyte != 0 {
		return 0, fmt.Errorf("%q is not a whole number of MiB", text)
	}
	return types.MiB(size / mebibyte), nil
}

// ParseBytes parses a size with its unit, as in 64KiB. A fraction of a byte is discarded.
func ParseBytes(text string) (types.Bytes, error) {
	for _, u := range sizeUnits {
		amount, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		value, err := parseNumber(strings.TrimSpace(amount))
		if err != nil {
			return 0, fmt.Errorf("%q is not a size", text)
		}
		return types.Bytes(value * u.bytes), nil
	}
	if _, err := parseNumber(text); err == nil {
		return 0, fmt.Errorf("%q has no unit", text)
	}
	return 0, fmt.Errorf("%q is not a size", text)
}

// parseNumber parses a number whose magnitude is at most maxAmount.
func parseNumber(text string) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, err
	}
	if math.IsNaN(value) || math.Abs(value) > maxAmount {
		return 0, fmt.Errorf("%q is out of range", text)
	}
	return value, nil
}
