// Package fault injects faults into the in-memory stand-ins of the platform's services.
package fault

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

type (
	// Plan is the set of faults that one stand-in injects into its calls. It is safe for concurrent use.
	Plan struct {
		mu            sync.Mutex
		clock         clockwork.Clock
		down          bool
		delay         time.Duration
		answersToLose int
		partitioned   map[types.DataCentre]bool
		refusedPrefix string
	}
)

// New returns a plan without faults. Delays are measured by the clock.
func New(clock clockwork.Clock) *Plan {
	return &Plan{clock: clock, partitioned: make(map[types.DataCentre]bool)}
}

// SetDown sets whether every call fails before it takes effect.
func (p *Plan) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// SetDelay sets how long every call waits before it takes effect.
func (p *Plan) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// LoseAnswers makes the given number of next calls take effect and then fail with kind Lost.
func (p *Plan) LoseAnswers(calls int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answersToLose = calls
}

// SetPartitioned sets whether calls from the data centre fail before they take effect.
func (p *Plan) SetPartitioned(from types.DataCentre, partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned[from] = partitioned
}

// RefuseWrites makes writes of keys with the prefix fail before they take effect; an empty prefix refuses none.
func (p *Plan) RefuseWrites(prefix string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusedPrefix = prefix
}

// BeforeWrite is Before for the write of a key.
func (p *Plan) BeforeWrite(key string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusedPrefix != "" && strings.HasPrefix(key, p.refusedPrefix) {
		return errs.New(errs.Unavailable, "writes of %s are refused", p.refusedPrefix)
	}
	return nil
}

// Before is called by a stand-in before a call takes effect. It waits for the delay, then returns an error of kind
// Unavailable if the call must not take effect. The faults are those that were set when Before was called.
func (p *Plan) Before(ctx context.Context, from types.DataCentre) error {
	p.mu.Lock()
	down, delay, partitioned := p.down, p.delay, p.partitioned[from]
	p.mu.Unlock()
	if delay > 0 {
		if err := p.waitDelay(ctx, delay); err != nil {
			return err
		}
	}
	if down {
		return errs.New(errs.Unavailable, "the platform is down")
	}
	if partitioned {
		return errs.New(errs.Unavailable, "data centre %s is cut off", from)
	}
	return nil
}

// After is called by a stand-in after a call took effect. It returns an error of kind Lost if the answer is to be lost.
func (p *Plan) After() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answersToLose == 0 {
		return nil
	}
	p.answersToLose--
	return errs.New(errs.Lost, "the answer was lost")
}

func (p *Plan) waitDelay(ctx context.Context, delay time.Duration) error {
	select {
	case <-p.clock.After(delay):
		return nil
	case <-ctx.Done():
		return errs.New(errs.Unavailable, "waiting for the platform: %v", ctx.Err())
	}
}
