package elect

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// vacancyTimeout is how long after a failure the record may name a daemon without a term.
const vacancyTimeout = 10 * testTTL

// hookedStore passes the outcome of each Apply that was answered through a hook, on behalf of its daemon.
type hookedStore struct {
	store.Batcher
	answer func(batch store.Batch, out store.Outcome) (store.Outcome, error)
}

func (h *hookedStore) Apply(ctx context.Context, batch store.Batch) (store.Outcome, error) {
	out, err := h.Batcher.Apply(ctx, batch)
	if err != nil {
		return out, err
	}
	return h.answer(batch, out)
}

// hookAnswers lets the hook see, hold and lose the answers that daemons which join from now on get to their writes.
func (f *clusterFixture) hookAnswers(answer func(batch store.Batch, out store.Outcome) (store.Outcome, error)) {
	f.wrap = func(_ types.VMID, b store.Batcher) store.Batcher { return &hookedStore{Batcher: b, answer: answer} }
}

func deletesLeader(batch store.Batch) bool {
	return slices.Contains(batch.Deletes, LeaderKey)
}

func putsLeader(batch store.Batch) bool {
	return slices.ContainsFunc(batch.Puts, func(p store.Put) bool { return p.Key == LeaderKey })
}

// presentTerm returns the term that the elector itself holds, or nil.
func (d *daemon) presentTerm() *Term {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.term
}

// endPresentTerm ends the term that the elector holds, if any.
func (d *daemon) endPresentTerm(end func(Term, string)) {
	if term := d.presentTerm(); term != nil {
		end(*term, "test")
	}
}

// servedBy returns the daemon that the record in the store names, if it holds the term of the record, or nil.
func (f *clusterFixture) servedBy(all []*daemon) *daemon {
	entry, err := f.memory.As("check", meter.Discard()).Get(context.Background(), LeaderKey)
	var leader Leader
	if err != nil || json.Unmarshal(entry.Value, &leader) != nil {
		return nil
	}
	for _, d := range all {
		if term := d.presentTerm(); d.vm == leader.Target.VM && term != nil && term.Epoch == leader.Epoch {
			return d
		}
	}
	return nil
}

// assertServed fails the test unless the record names a daemon that holds its term within vacancyTimeout.
func (f *clusterFixture) assertServed(all ...*daemon) {
	f.t.Helper()
	deadline := time.Now().Add(vacancyTimeout)
	for f.servedBy(all) == nil {
		if time.Now().After(deadline) {
			f.t.Fatalf("%s after the last failure the leader record names no daemon that has its term: %s", vacancyTimeout, f.describe(all))
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// describe returns the record in the store and what each daemon knows, for a failure message.
func (f *clusterFixture) describe(all []*daemon) string {
	entry, err := f.memory.As("check", meter.Discard()).Get(context.Background(), LeaderKey)
	out := fmt.Sprintf("record %s, error %v", entry.Value, err)
	for _, d := range all {
		d.mu.Lock()
		out += fmt.Sprintf("; %s: term %v, known leader %q of epoch %d, record's version %d, lease %d", d.vm, d.term, d.leader.Target.VM, d.leader.Epoch, d.leaderVersion, d.lease)
		d.mu.Unlock()
	}
	return out
}

// whileDown runs f while the store answers nobody, until the calls that f caused have failed.
func (f *clusterFixture) whileDown(run func()) {
	f.memory.Faults.SetDown(true)
	defer f.memory.Faults.SetDown(false)
	run()
	time.Sleep(testTTL / 2)
}

// Guards against a leader record that stays under its daemon's live lease after the term has ended: nobody may claim then.
func TestEndedTermIsFollowedByAnother(t *testing.T) {
	ends := map[string]func(f *clusterFixture, leader *daemon, loseDelete *atomic.Bool){
		"EndTerm": func(_ *clusterFixture, d *daemon, _ *atomic.Bool) { d.EndTerm(*d.presentTerm(), "test") },
		"StandBackWithAFailingDelete": func(f *clusterFixture, d *daemon, _ *atomic.Bool) {
			f.whileDown(func() { d.StandBack(*d.presentTerm(), "test") })
		},
		"StandBackWhoseDeleteIsNotApplied": func(_ *clusterFixture, d *daemon, _ *atomic.Bool) {
			d.mu.Lock()
			d.leaderVersion--
			d.mu.Unlock()
			d.StandBack(*d.presentTerm(), "test")
		},
		"StandBackWithALostAnswer": func(_ *clusterFixture, d *daemon, loseDelete *atomic.Bool) {
			loseDelete.Store(true)
			d.StandBack(*d.presentTerm(), "test")
		},
	}
	for name, end := range ends {
		for _, count := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s/%d", name, count), func(t *testing.T) {
				t.Parallel()
				var loseDelete atomic.Bool
				f := newClusterFixture(t)
				f.hookAnswers(losingDeletes(&loseDelete))
				all := f.joinMany(count)
				leader := f.awaitLeader(all...)
				time.Sleep(testTTL) // The watch has delivered the leader's own claim by then.
				end(f, leader, &loseDelete)
				f.assertServed(all...)
			})
		}
	}
}

// losingDeletes loses the answer to the next delete of the leader record once lose is set.
func losingDeletes(lose *atomic.Bool) func(store.Batch, store.Outcome) (store.Outcome, error) {
	return func(batch store.Batch, out store.Outcome) (store.Outcome, error) {
		if deletesLeader(batch) && lose.CompareAndSwap(true, false) {
			return store.Outcome{}, errs.New(errs.Lost, "the answer is lost")
		}
		return out, nil
	}
}

// Guards against a daemon that drains for long, renews its lease, and so keeps the record which it could not delete.
func TestDrainingDaemonWhoseDeleteFailsIsReplaced(t *testing.T) {
	t.Parallel()
	f := newClusterFixture(t)
	leader, other := f.awaitLeaderOf(f.join("a"), f.join("b"))
	time.Sleep(testTTL)
	f.whileDown(func() { leader.StepDown(context.Background()) })
	f.assertServed(leader, other)
}

// Guards against a term that begins in a daemon which has stepped down while its claim was on the way.
func TestClaimThatIsAnsweredAfterStepDownBeginsNoTerm(t *testing.T) {
	t.Parallel()
	claimed, proceed := make(chan struct{}, 1), make(chan struct{})
	f := newClusterFixture(t)
	f.hookAnswers(func(batch store.Batch, out store.Outcome) (store.Outcome, error) {
		if putsLeader(batch) {
			claimed <- struct{}{}
			<-proceed
		}
		return out, nil
	})
	d := f.join("a")
	<-claimed
	d.StepDown(context.Background())
	close(proceed)
	for until := time.Now().Add(testTTL); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if d.presentTerm() != nil {
			t.Fatal("a term has begun in a daemon that has stepped down")
		}
	}
}

// Guards against orders of failures and ends of terms after which the record names a daemon without a term.
func TestRandomFailuresLeaveALeader(t *testing.T) {
	const seeds, steps = 16, 6
	for name, disturbances := range map[string]int{"OfTheStore": storeDisturbances, "OfTheStoreAndEndsOfTerms": allDisturbances} {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				t.Parallel()
				random := rand.New(rand.NewPCG(seed, 0))
				var late lateWrites
				f := newClusterFixture(t)
				f.wrap = late.wrap
				all := f.joinMany(1 + random.IntN(3))
				f.awaitLeader(all...)
				for range steps {
					f.disturb(random, disturbances, all, &late)
					time.Sleep(randomBelow(random, testTTL/2))
				}
				f.heal(all, &late)
				f.assertServed(all...)
			})
		}
	}
}

// The kinds of disturbance below storeDisturbances are failures of the store and what peers say, the others ends of terms.
const (
	storeDisturbances = 8
	allDisturbances   = 11
)

// disturb makes the store fail in one way, or ends a term.
func (f *clusterFixture) disturb(random *rand.Rand, disturbances int, all []*daemon, late *lateWrites) {
	faults, victim, witness := f.memory.Faults, all[random.IntN(len(all))], all[random.IntN(len(all))]
	if leader := f.servedBy(all); leader != nil && random.IntN(2) == 0 {
		victim = leader
	}
	known, _ := victim.Leader()
	switch random.IntN(disturbances) {
	case 0:
		faults.LoseAnswers(1 + random.IntN(4))
	case 1:
		faults.SetDown(random.IntN(2) == 0)
	case 2:
		faults.SetPartitioned(types.DataCentre(victim.vm), random.IntN(2) == 0)
	case 3:
		faults.RefuseWrites([]string{"", string(LeaderKey)}[random.IntN(2)])
	case 4:
		faults.SetDelay(randomBelow(random, testTTL/2))
	case 5:
		witness.SuspectLeader(known.Epoch, "test")
	case 6:
		witness.AdoptLeader(known)
	case 7:
		late.delay.Store(int64(randomBelow(random, 3*testTTL)))
	case 8:
		victim.endPresentTerm(victim.EndTerm)
	default:
		victim.endPresentTerm(victim.StandBack)
	}
}

// heal ends all failures of the store.
func (f *clusterFixture) heal(all []*daemon, late *lateWrites) {
	faults := f.memory.Faults
	late.delay.Store(0)
	faults.SetDown(false)
	faults.SetDelay(0)
	faults.LoseAnswers(0)
	faults.RefuseWrites("")
	for _, d := range all {
		faults.SetPartitioned(types.DataCentre(d.vm), false)
	}
}

// joinMany adds daemons named "a", "b" and so on.
func (f *clusterFixture) joinMany(count int) []*daemon {
	var out []*daemon
	for i := range count {
		out = append(out, f.join(string(rune('a'+i))))
	}
	return out
}

func randomBelow(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}

// lateWrites leaves writes unanswered, and carries them out once delay has passed; it does nothing while delay is zero.
type lateWrites struct {
	// delay is in nanoseconds.
	delay atomic.Int64
}

func (l *lateWrites) wrap(_ types.VMID, b store.Batcher) store.Batcher {
	return &lateStore{Batcher: b, writes: l}
}

// lateStore is a store whose writes are lateWrites.
type lateStore struct {
	store.Batcher
	writes *lateWrites
}

func (s *lateStore) Apply(ctx context.Context, batch store.Batch) (store.Outcome, error) {
	delay := time.Duration(s.writes.delay.Load())
	if delay == 0 {
		return s.Batcher.Apply(ctx, batch)
	}
	time.AfterFunc(delay, func() { _, _ = s.Batcher.Apply(context.WithoutCancel(ctx), batch) })
	<-ctx.Done()
	return store.Outcome{}, errs.New(errs.Lost, "no answer: %v", ctx.Err())
}

// Guards against a daemon that claims again and again while the answers to its claims are lost, and never leads.
func TestClaimWhoseAnswerIsLostBeginsATerm(t *testing.T) {
	t.Parallel()
	f := newClusterFixture(t)
	f.hookAnswers(func(batch store.Batch, out store.Outcome) (store.Outcome, error) {
		if putsLeader(batch) {
			return store.Outcome{}, errs.New(errs.Lost, "the answer is lost")
		}
		return out, nil
	})
	f.assertServed(f.joinMany(2)...)
}
