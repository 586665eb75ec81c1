package order

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A plan must come to the steps in the same order as if all of them were sorted.
func TestSortLeast(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	compare := func(a, b entry) int { return cmp.Compare(a.latestStart.UnixNano(), b.latestStart.UnixNano()) }
	for range 2000 {
		entries := make([]entry, 1+rnd.IntN(300))
		for i := range entries {
			entries[i].latestStart = start.Add(time.Duration(rnd.IntN(1 + rnd.IntN(1000))))
		}
		sorted := slices.Clone(entries)
		slices.SortFunc(sorted, compare)
		for at := 0; at < len(entries); {
			n := 1 + rnd.IntN(len(entries)-at)
			sortLeast(entries[at:], n, compare)
			at += n
		}
		if !slices.EqualFunc(entries, sorted, func(a, b entry) bool { return compare(a, b) == 0 }) {
			t.Fatalf("%d entries are not in order", len(entries))
		}
	}
}
