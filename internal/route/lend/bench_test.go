package lend

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// BenchmarkChoose measures Acquire and Release with 51 runners.
func BenchmarkChoose(b *testing.B) {
	w := newSimulation()
	o := w.holders[0]
	now := w.clock.Now()
	for _, up := range testUpstreams() {
		for i := range 17 {
			up := up
			up.ID += types.RunnerID(rune('a' + i))
			o.addGrant(testDC, Grant{Upstream: up, Slots: testSlots, Connections: 64}, now)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		s, ok := o.Acquire(testService, Far, "")
		if !ok {
			b.Fatal("no slot was free")
		}
		o.Release(s, Answered, time.Time{})
	}
}
