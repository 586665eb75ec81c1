package lead

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/commit"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/plan"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

const (
	// MethodTake asks the leader of another data centre to accept a job.
	MethodTake peer.Method = "Jobs.Take"

	handoverPrefix     store.Key = "Handovers/"
	offerRetryInterval           = 2 * time.Second
	transferTimeout              = 3 * time.Second
)

type (
	// Transfer is a job that is handed over to another data centre. It is also the value of the key in the store
	// that decides which data centre owns the job.
	Transfer struct {
		Job  types.Job        `json:"Job"`
		From types.DataCentre `json:"From"`
		To   types.DataCentre `json:"To"`
		// Hop is the number of this handover of the job, from 1.
		Hop int `json:"Hop"`
		// Passed is set when an entry daemon has forwarded the transfer to its leader.
		Passed bool `json:"Passed,omitempty"`
	}

	// Taken is the reply to a transfer that was accepted.
	Taken struct {
		Job types.JobID `json:"Job"`
	}

	// offer is a job that is being handed over.
	offer struct {
		record commit.Offer
		// committed is set once the offer is in the journal; no try is made before.
		committed bool
		// busy is set while a try is in flight.
		busy bool
		// closing is set once the move or the withdrawal waits for its commit; no further try is made then.
		closing   bool
		nextTryAt time.Time
		tries     int
	}

	// transferResult is the result of one try to hand a job over. owner is the data centre that owns the job, or
	// empty if that is not known.
	transferResult struct {
		owner    types.DataCentre
		accepted bool
		err      error
	}
)

// offerJob freezes a job of which no attempt can be running, so that it can be handed over.
func (l *Leader) offerJob(a plan.HandOverAction) {
	j, ok := l.state.Jobs[a.Job]
	committedJob, committed := l.committedState.Jobs[a.Job]
	if !ok || !committed || l.offers[a.Job] != nil || !l.isMovable(j) {
		return
	}
	o := &offer{record: commit.Offer{Job: a.Job, To: a.To, Hop: committedJob.Hop + 1}}
	l.offers[a.Job] = o
	l.writer.enqueue(pendingRecord{
		record:    commit.Record{Offer: &o.record},
		onDurable: func() { l.applyOffer(o, a.Reason) },
		onFailed:  func(error) { delete(l.offers, a.Job) },
	})
}

// isMovable reports whether a job may be handed over: it is no service, and no attempt of it was ever intended
// here. The numbers of attempts start from the beginning in the other data centre, so they could otherwise
// collide with attempts made here if the job came back.
func (l *Leader) isMovable(j *table.Job) bool {
	if j.Spec.Service != nil || j.Cancelled {
		return false
	}
	for _, t := range j.Tasks {
		a, known := l.attempts[t.ID]
		if t.State != table.TaskWaiting || t.Number > 0 || (known && a.resultPending) {
			return false
		}
	}
	return true
}

func (l *Leader) applyOffer(o *offer, reason string) {
	o.committed = true
	id := o.record.Job
	l.offers[id] = o
	if committedJob := l.committedState.Jobs[id]; committedJob.Cancelled {
		l.withdrawOffer(o)
		return
	}
	l.removeJob(id)
	l.recordAudit(audit.VerbHandOver, string(id), reason, audit.Input{Name: "To", Value: string(o.record.To)})
}

// removeJob removes a job from the tables; the committed state keeps it.
func (l *Leader) removeJob(id types.JobID) {
	j, ok := l.state.Jobs[id]
	if !ok {
		return
	}
	for _, t := range j.Tasks {
		delete(l.attempts, t.ID)
	}
	l.reportViolation(l.state.RemoveJob(id))
}

// offerTick tries each committed offer that is due. One write to the store decides which data centre owns the
// job.
func (l *Leader) offerTick() {
	now := l.now()
	for _, o := range l.offers {
		if !o.committed || o.busy || o.closing || now.Before(o.nextTryAt) {
			continue
		}
		l.sendOffer(o)
	}
}

func (l *Leader) sendOffer(o *offer) {
	committedJob, ok := l.committedState.Jobs[o.record.Job]
	if !ok {
		delete(l.offers, o.record.Job)
		return
	}
	o.busy = true
	o.tries++
	o.nextTryAt = l.now().Add(offerRetryInterval)
	transfer := Transfer{Job: committedJob.Spec, From: l.dataCentre(), To: o.record.To, Hop: o.record.Hop}
	target, reachable := l.liveEntry(o.record.To, o.tries)
	if !reachable {
		transfer.To = l.dataCentre()
	}
	l.runAsync(func(ctx context.Context) func() {
		result := l.transferJob(ctx, transfer, target)
		return func() { l.applyTransferResult(o, result) }
	})
}

// transferJob decides which data centre owns the job, and has the new owner accept it.
func (l *Leader) transferJob(ctx context.Context, t Transfer, target peer.Target) transferResult {
	limited, cancel := clockwork.WithTimeout(ctx, l.cfg.Clock, transferTimeout)
	defer cancel()
	l.hook(stepOffer)
	owner, err := l.decideOwner(limited, t)
	if err != nil || owner == l.dataCentre() {
		return transferResult{owner: owner, err: err}
	}
	if target.VM == "" || target.Site.DataCentre != owner {
		return transferResult{owner: owner, err: errs.New(errs.Unavailable, "no live entry daemon of %s is known", owner)}
	}
	l.hook(stepTake)
	t.To = owner
	err = l.cfg.Peers.Call(limited, target, MethodTake, &t, &Taken{})
	return transferResult{owner: owner, accepted: err == nil, err: err}
}

// decideOwner creates the key of this hop and returns the owner. If the key exists, its value names the owner.
func (l *Leader) decideOwner(ctx context.Context, t Transfer) (types.DataCentre, error) {
	key := handoverKey(t.Job.ID, t.Hop)
	_, err := store.Commit(ctx, l.cfg.Store, store.Put{Key: key, Expect: store.Absent}, t)
	if err == nil {
		return t.To, nil
	}
	if !errs.Is(err, errs.Conflict) {
		return "", err
	}
	found, err := readTransfer(ctx, l.cfg.Store, key)
	return found.To, err
}

func (l *Leader) applyTransferResult(o *offer, result transferResult) {
	o.busy = false
	if l.offers[o.record.Job] != o {
		return
	}
	if result.err != nil {
		l.incCounter("HandOversDelayed")
		if result.owner != "" {
			o.record.To = result.owner
		}
		return
	}
	if result.owner == l.dataCentre() {
		l.withdrawOffer(o)
		return
	}
	if result.accepted {
		l.commitMove(o, result.owner)
	}
}

// withdrawOffer commits that the job stays here, and puts it back into the tables.
func (l *Leader) withdrawOffer(o *offer) {
	id := o.record.Job
	o.closing = true
	l.writer.enqueue(pendingRecord{
		record: commit.Record{Keep: &commit.Keep{Job: id, Hop: o.record.Hop}},
		retry:  true,
		onDurable: func() {
			if l.closeOffer(o) {
				l.restoreJob(l.committedState.Jobs[id])
			}
		},
	})
}

// closeOffer removes an offer that has ended. It reports whether the offer was the latest one of its job.
func (l *Leader) closeOffer(o *offer) bool {
	if l.offers[o.record.Job] != o {
		return false
	}
	delete(l.offers, o.record.Job)
	return true
}

// commitMove commits that the other data centre has accepted the job.
func (l *Leader) commitMove(o *offer, to types.DataCentre) {
	id := o.record.Job
	o.closing = true
	l.writer.enqueue(pendingRecord{
		record: commit.Record{Moved: &commit.Moved{Job: id, To: to, Hop: o.record.Hop}},
		retry:  true,
		onDurable: func() {
			if l.closeOffer(o) {
				l.incCounter("HandOvers")
			}
		},
	})
}

// AcceptTransfer accepts a job from another data centre once the store shows that it belongs here. The job is
// committed if the error is nil; accepting it again changes nothing. An error of kind Conflict means that the job
// belongs to another data centre, Unknown that it may have been accepted.
func (l *Leader) AcceptTransfer(ctx context.Context, t Transfer) (Taken, error) {
	out := Taken{Job: t.Job.ID}
	found, err := readTransfer(ctx, l.cfg.Store, handoverKey(t.Job.ID, t.Hop))
	if err != nil {
		return out, err
	}
	if found.To != l.dataCentre() {
		return out, errs.New(errs.Conflict, "job %s belongs to %s", t.Job.ID, found.To)
	}
	l.mu.Lock()
	w, err := l.enqueueTransfer(found)
	l.mu.Unlock()
	if err != nil || w == nil {
		return out, err
	}
	select {
	case err := <-w.outcome:
		return out, err
	case <-ctx.Done():
		return out, errs.New(errs.Unknown, "job %s: the call ended before the commit of the transfer was confirmed; it may still be accepted: %v", t.Job.ID, ctx.Err())
	}
}

func (l *Leader) enqueueTransfer(t Transfer) (*waiter, error) {
	if err := l.checkCanCommit(); err != nil {
		return nil, err
	}
	if j, known := l.committedState.Jobs[t.Job.ID]; known && j.Hop >= t.Hop {
		return nil, nil
	}
	w := &waiter{outcome: make(chan error, 1)}
	l.acceptJob(commit.Accept{Job: t.Job, Hop: t.Hop}, w.outcome)
	return w, nil
}

// liveEntry returns a live entry daemon of a data centre, or false if none is known; successive turns rotate through
// them.
func (l *Leader) liveEntry(dc types.DataCentre, turn int) (peer.Target, bool) {
	var live []peer.Target
	for _, e := range l.cfg.Entries() {
		if e.Site.DataCentre == dc {
			live = append(live, e)
		}
	}
	if len(live) == 0 {
		return peer.Target{}, false
	}
	return live[turn%len(live)], true
}

// handoverKey returns the key that decides one hop of a job. It borrows the form of a task ID, with the hop in place of
// the task's index.
func handoverKey(id types.JobID, hop int) store.Key {
	return handoverPrefix + store.Key(id.Task(hop))
}

func readTransfer(ctx context.Context, s store.Store, key store.Key) (Transfer, error) {
	entry, err := s.Get(ctx, key)
	if err != nil {
		return Transfer{}, err
	}
	var out Transfer
	if err := store.DecodeRecord(entry.Value, &out); err != nil {
		return Transfer{}, err
	}
	return out, nil
}
