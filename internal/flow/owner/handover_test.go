package owner

import (
	"testing"
	"time"
)

// A leader whose VM had become six times slower led on with ever more work waiting, while other VMs were sound.
func TestLeaderOnAVMThatBecameSlowLeavesItsTerm(t *testing.T) {
	for name, c := range map[string]struct {
		slowness     float64
		hasSuccessor bool
		age          time.Duration
		want         bool
	}{
		"Slow":        {slowness: 6, hasSuccessor: true, age: minSlowTerm, want: true},
		"Busy":        {slowness: 1.5, hasSuccessor: true, age: minSlowTerm},
		"Alone":       {slowness: 6, age: minSlowTerm},
		"JustElected": {slowness: 6, hasSuccessor: true, age: minSlowTerm / 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, quickWorld())
			o := f.newOwner()
			defer o.Stop()
			left := false
			o.config.Slowness = func() float64 { return c.slowness }
			o.config.HasSuccessor = func() bool { return c.hasSuccessor }
			o.config.OnStalled = func(string) { left = true }
			o.leaveIfSlow(f.clock.Now().Add(-c.age))
			if left != c.want {
				t.Errorf("the term was left: %t, want %t", left, c.want)
			}
		})
	}
}
