package types

import (
	"math"
	"testing"
)

// A quota of zero means "no limit" in two ways: for a team as a whole, for an organisation by resource.
func TestLimits(t *testing.T) {
	need := Resources{Cores: 2 * Core, Memory: GiB, Accelerators: 1}
	for _, tt := range []struct {
		name        string
		quota       Resources
		whole, each bool
	}{
		{name: "Zero", whole: true, each: true},
		{name: "Enough", quota: Resources{Cores: 2 * Core, Memory: GiB, Accelerators: 1}, whole: true, each: true},
		{name: "TooLittle", quota: Resources{Cores: Core, Memory: GiB, Accelerators: 1}},
		{name: "OneResource", quota: Resources{Cores: 2 * Core}, each: true},
		{name: "TooLittleOfOne", quota: Resources{Memory: GiB - 1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := need.Fits(tt.quota.Limit()); got != tt.whole {
				t.Errorf("within the limit as a whole: %v, want %v", got, tt.whole)
			}
			if got := need.WithinLimit(tt.quota); got != tt.each {
				t.Errorf("within the limit of each resource: %v, want %v", got, tt.each)
			}
		})
	}
}

func TestDominantShare(t *testing.T) {
	whole := Resources{Cores: 10 * Core, Memory: 10 * GiB}
	for _, tt := range []struct {
		name string
		used Resources
		want float64
	}{
		{name: "Nothing"},
		{name: "Cores", used: Resources{Cores: 5 * Core, Memory: GiB}, want: 0.5},
		{name: "Memory", used: Resources{Cores: Core, Memory: 8 * GiB}, want: 0.8},
		{name: "ResourceThatDoesNotExist", used: Resources{Accelerators: 1}, want: 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.used.DominantShare(whole); math.Abs(got-tt.want) > 1e-9 {
				t.Errorf("share %v, want %v", got, tt.want)
			}
		})
	}
}
