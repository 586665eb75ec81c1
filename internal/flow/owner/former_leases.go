package owner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/ledger"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// handoverTimeout limits the write of a handover. The leases of all runners go on without renewals meanwhile.
const handoverTimeout = 400 * time.Millisecond

// HandOver ends the starts and renewals of this leader for good, and then tells the next leader how long the leases on the runners may last.
// Without a handover, the next leader has to assume that this one goes on for storeContactTimeout. The term must be ended after it.
func (o *Owner) HandOver(ctx context.Context) {
	leases, ok := o.endOrders()
	if !ok {
		return
	}
	limited, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	began := o.config.Clock.Now()
	err := ledger.HandOver(limited, ledger.Config{
		Store: o.config.Store, Epoch: o.config.Term.Epoch, EpochVersion: o.config.Term.Version,
	}, leases)
	if err != nil {
		o.config.Log.Warn().Err(err).Msg("could not hand the leases over; the next leader waits for the longest that are possible")
		return
	}
	o.config.Log.Info().Int("Runners", len(leases)).Dur("Took", o.config.Clock.Since(began)).Msg("leases handed over to the next leader")
}

// endOrders ends the starts and renewals of this leader, and returns what is left of the leases then, the shortest first; ok is false when
// the ledger has not been read, or the term has ended.
func (o *Owner) endOrders() (leases []ledger.RunnerLease, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.open || o.ctx.Err() != nil {
		return nil, false
	}
	o.handedOver = true
	now := o.config.Clock.Now()
	for _, r := range o.table.Runners {
		if len(r.Runs) == 0 || r.Info.Boot == 0 || mayStartOnNextBoot(r, now) {
			continue
		}
		leases = append(leases, ledger.RunnerLease{
			Runner: r.Info.ID, Boot: r.Info.Boot, Remaining: time.Duration(max(0, r.Deadline-r.Now(now))),
		})
	}
	slices.SortFunc(leases, func(a, b ledger.RunnerLease) int {
		return cmp.Or(cmp.Compare(a.Remaining, b.Remaining), cmp.Compare(a.Runner, b.Runner))
	})
	return leases, true
}

// mayStartOnNextBoot reports whether a start of a run may still be carried out by the runner's next boot, on whose clock the deadline of the
// start means nothing: the leases of this boot do not bound it.
func mayStartOnNextBoot(r *tasks.Runner, now time.Time) bool {
	for _, run := range r.Runs {
		isSettled := r.StartsSettled && run.Tries == 0 && !run.InDoubt
		if !isSettled && (run.InDoubt || run.MayReachNextBoot(now)) {
			return true
		}
	}
	return false
}

// noteFormerLeases keeps what the former leader has handed over. The caller must hold o.mu.
func (o *Owner) noteFormerLeases(leases []ledger.RunnerLease) {
	o.formerLeases = make(map[tasks.Incarnation]time.Duration, len(leases))
	for _, l := range leases {
		o.formerLeases[tasks.Incarnation{Runner: l.Runner, Boot: l.Boot}] = l.Remaining
	}
}

// boundFormerLeases lowers the bound of the leases on a runner, which has not answered this leader, to what the former one has handed over for
// this boot. They are counted from now on, since it is not known when that was written. The caller must hold o.mu.
func (o *Owner) boundFormerLeases(r *tasks.Runner) {
	remaining, ok := o.formerLeases[r.Incarnation()]
	if !ok || r.Info.Boot == 0 {
		return
	}
	r.Deadline = min(r.Deadline, agent.Clock(remaining))
	r.StartsSettled = true
}
