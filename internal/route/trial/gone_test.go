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

func TestSlotsOfAGoneVMAreLentAgain(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		c := startCell(t, func(c *Config) { c.Runners, c.Work = 3, 100*time.Millisecond })
		l := &requestLog{}
		victim, rest := c.Daemons[6], []*Daemon{c.Daemons[0], c.Daemons[3]}
		sendSteadily(t, l, []*Daemon{victim}, 20*time.Millisecond, time.Second)()
		c.Kill(victim)
		taken := victim.Holder.Held(Service, lend.Local)
		sendSteadily(t, l, rest, 5*time.Millisecond, 2*time.Second)()
		if held := heldSlots(rest); taken == 0 || held+taken > 8 {
			t.Errorf("%d slots are held beside the %d of a VM that may come back", held, taken)
		}
		c.SetGone(victim.Self.VM)
		sendSteadily(t, l, rest, 5*time.Millisecond, lend.DefaultLinger+3*time.Second)()
		if held := heldSlots(rest); held != 8 {
			t.Errorf("%d of 8 slots are held after the VM is gone", held)
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

func TestSlowLinkIsUsedLastAndWithinItsBudget(t *testing.T) {
	const perSecond = 20 << 10
	runInBubble(t, func(t *testing.T) {
		c := startCell(t, func(c *Config) {
			c.Far, c.Work = 400*time.Millisecond, 100*time.Millisecond
			c.Document = func(d *envdoc.Document) { d.Link.RequestBytesPerSecond = perSecond }
		})
		l := &requestLog{}
		// Only the entries of one region are loaded, with half as much again as its runners can do.
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
		if most := 2 * perSecond * (span.Seconds() + 1); crossed == 0 || float64(crossed) > most {
			t.Errorf("%d bytes crossed, want some and at most %.0f", crossed, most)
		}
		if l.countOutcome(types.OutcomeDone) == 0 {
			t.Error("nothing was done")
		}
	})
}
