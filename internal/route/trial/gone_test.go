package trial

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
	"github.com/magnoliawalk/magnoliawalk/internal/route/lend"
)

// TestSlotsOfAGoneVMAreLentAgain guards against slots that are lent while an unreachable entry may still use them, and
// against slots that stay lost after it is known to be gone for good.
func TestSlotsOfAGoneVMAreLentAgain(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := startCell(t, func(c *Config) { c.Runners, c.Work = 3, 100*time.Millisecond })
		l := &requestLog{}
		victim, rest := c.Daemons[6], []*Daemon{c.Daemons[0], c.Daemons[3]}
		sendSteadily(t, l, []*Daemon{victim}, 20*time.Millisecond, time.Second)()
		c.Kill(victim)
		heldByVictim := victim.Holder.Held(Service, lend.Local)
		sendSteadily(t, l, rest, 5*time.Millisecond, 2*time.Second)()
		if held := heldSlots(rest); heldByVictim == 0 || held+heldByVictim > 8 {
			t.Errorf("%d slots are held in addition to the %d of a VM that may come back, want some of the VM and at most 8 in all", held, heldByVictim)
		}
		c.SetGone(victim.Self.VM)
		sendSteadily(t, l, rest, 5*time.Millisecond, lend.DefaultReclaimDelay+3*time.Second)()
		if held := heldSlots(rest); held != 8 {
			t.Errorf("%d of 8 slots are held after the VM is gone for good, want all", held)
		}
		for _, s := range l.sent {
			for _, a := range s.received() {
				if a.ID != s.request.ID {
					t.Errorf("%s got the answer of %s", s.request.ID, a.ID)
				}
			}
		}
	})
}

func heldSlots(daemons []*Daemon) int {
	sum := 0
	for _, d := range daemons {
		sum += d.Holder.Held(Service, lend.Local)
	}
	return sum
}

// TestSlowLinkIsUsedLastAndWithinItsBudget guards against more traffic over the paid link than its budget allows when
// the runners of one region are overloaded.
func TestSlowLinkIsUsedLastAndWithinItsBudget(t *testing.T) {
	const perSecond = 20 << 10
	runInBubble(t, func(t *testing.T) {
		c := startCell(t, func(c *Config) {
			c.Far, c.Work = 400*time.Millisecond, 100*time.Millisecond
			c.Document = func(d *envdoc.Document) { d.Link.RequestBytesPerSecond = perSecond }
		})
		l := &requestLog{}
		// Only the entries of one region are loaded, with 1.5 times the capacity of its runners.
		var loaded []*Daemon
		for _, d := range c.Daemons {
			if d.Self.Site.Region == "tunis-north" {
				loaded = append(loaded, d)
			}
		}
		span := 10 * time.Second
		sendSteadily(t, l, loaded, 2*time.Millisecond, span)()
		wantGuarantees(t, c, l)
		var crossed int64
		for _, d := range loaded {
			crossed += d.Meter.Get(runner.KindCall, meter.CrossedBytes)
		}
		// Each of the two data centres may also spend the burst of one second.
		if maxBytes := 2 * perSecond * (span.Seconds() + 1); crossed == 0 || float64(crossed) > maxBytes {
			t.Errorf("%d bytes crossed the paid link, want some and at most %.0f", crossed, maxBytes)
		}
		if l.countOutcome(types.OutcomeDone) == 0 {
			t.Error("no request was answered Done")
		}
	})
}
