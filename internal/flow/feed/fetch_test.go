package feed

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/elect"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

// cutAfterPoll is a Caller that loses the answers of the daemon that is first asked for a part of a catalog, once it is armed: that
// daemon is cut off between the poll and the fetch.
type cutAfterPoll struct {
	peer.Caller
	armed atomic.Bool
	cut   atomic.Pointer[peer.Target]
}

// Call implements peer.Caller.
func (c *cutAfterPoll) Call(ctx context.Context, to peer.Target, method peer.Method, args, reply any) error {
	if method == methodRead && c.armed.Load() {
		c.cut.CompareAndSwap(nil, &to)
	}
	if cut := c.cut.Load(); cut != nil && cut.VM == to.VM {
		<-ctx.Done()
		return errs.New(errs.Lost, "%s is cut off", to.VM)
	}
	return c.Caller.Call(ctx, to, method, args, reply)
}

// TestCatalogIsInTimeThoughItsSourceIsCutOff guards against a daemon that refuses a new route for seconds, because the daemon from which it
// fetches the catalog was cut off after it had said that there is a newer one.
func TestCatalogIsInTimeThoughItsSourceIsCutOff(t *testing.T) {
	f := newFixture(t, 3, applyTimeout)
	f.store.write(1, 1)
	f.waitForVersion(1)
	caller := f.callers["b2"]
	caller.armed.Store(true)
	written := time.Now()
	f.store.write(2, 1)
	f.waitForVersion(2)
	if took := time.Since(written); took > applyTimeout {
		t.Errorf("the catalog is in force after %s, want at most %s", took, applyTimeout)
	}
	if caller.cut.Load() == nil {
		t.Error("the daemon did not fetch the catalog from another one")
	}
}

// TestPartTimeoutLeavesTimeForAnotherSource guards against tries that outlast the time within which a catalog should be in force, and against
// giving up a source whose narrow link is shared by many fetches.
func TestPartTimeoutLeavesTimeForAnotherSource(t *testing.T) {
	const narrow, wide = 250_000.0, 125_000_000.0
	for name, test := range map[string]struct {
		members     int
		bytes       int
		rate        float64
		least, most time.Duration
	}{
		"SmallOnAWideLink":    {members: 7, bytes: 4_000, rate: wide, most: applyTimeout / 4},
		"LargeOnAWideLink":    {members: 150, bytes: 1 << 20, rate: wide, most: applyTimeout / 4},
		"LargeOnANarrowLink":  {members: 32, bytes: 1 << 20, rate: narrow, least: maxPartTimeout, most: maxPartTimeout},
		"RateThatIsNotKnown":  {members: 7, bytes: 4_000, most: applyTimeout / 4},
		"SmallOnANarrowLink":  {members: 7, bytes: 4_000, rate: narrow, least: 500 * time.Millisecond, most: applyTimeout / 2},
		"SmallOfALargeFleet":  {members: 150, bytes: 2_000, rate: wide, most: applyTimeout / 4},
		"NoMembersAreKnown":   {bytes: 4_000, rate: narrow, most: applyTimeout / 4},
		"MediumOnANarrowLink": {members: 32, bytes: 8_000, rate: narrow, least: time.Second, most: maxPartTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			f := &Feed{config: Config{
				ApplyTimeout: applyTimeout, Members: func() []elect.Member { return make([]elect.Member, test.members) },
			}, pacer: pacer{rate: test.rate / linkShareDivisor}}
			if got := f.partTimeout(test.bytes); got < test.least || got > test.most {
				t.Errorf("the limit of a part is %s, want %s to %s", got, test.least, test.most)
			}
		})
	}
}
