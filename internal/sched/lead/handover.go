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
	// MethodTake has the lead of another data centre take a job in.
	MethodTake peer.Method = "Jobs.Take"

	handoverPrefix store.Key = "Handovers/"
	offerRetry               = 2 * time.Second
	takeTimeout              = 3 * time.Second
)

type (
	// Transfer is a job on its way to another data centre. It is also the value of the key that decides to
	// whom the job belongs.
	Transfer struct {
		Job  types.Job        `json:"Job"`
		From types.DataCentre `json:"From"`
		To   types.DataCentre `json:"To"`
		Hop  int              `json:"Hop"`
		// Passed tells that an entry has passed it on to its lead.
		Passed bool `json:"Passed,omitempty"`
	}

	// Taken is the answer to a transfer that was taken in.
	Taken struct {
		Job types.JobID `json:"Job"`
	}

	// offer is a job that is being handed over.
	offer struct {
		record    commit.Offer
		committed bool
		busy      bool
		settling  bool
		next      time.Time
		tries     int
	}

	// verdict is what became of one try at a hand-over.
	verdict struct {
		owner types.DataCentre
		taken bool
		err   error
	}
)

// offerJob freezes a job of which no attempt may run, so that it can be handed over.
func (l *Leader) offerJob(a plan.HandOverAction) {
	j, ok := l.state.Jobs[a.Job]
	image, committed := l.image.Jobs[a.Job]
	if !ok || !committed || l.offers[a.Job] != nil || !l.movable(j) {
		return
	}
	o := &offer{record: commit.Offer{Job: a.Job, To: a.To, Hop: image.Hop + 1}}
	l.offers[a.Job] = o
	l.writer.add(item{
		record: commit.Record{Offer: &o.record},
		done:   func() { l.offered(o, a.Reason) },
		failed: func(error) { delete(l.offers, a.Job) },
	})
}

// movable tells whether a job may leave: it is no service and no attempt of it was ever intended here, so the
// numbers of attempts start anew elsewhere without meeting these if the job comes back.
func (l *Leader) movable(j *table.Job) bool {
	if j.Spec.Service != nil || j.Cancelled {
		return false
	}
	for _, t := range j.Tasks {
		a, known := l.attempts[t.ID]
		if t.State != table.TaskWaiting || t.Number > 0 || (known && a.ending) {
			return false
		}
	}
	return true
}

func (l *Leader) offered(o *offer, reason string) {
	o.committed = true
	id := o.record.Job
	l.offers[id] = o
	if image := l.image.Jobs[id]; image.Cancelled {
		l.keepJob(o)
		return
	}
	l.drop(id)
	l.record(audit.VerbHandOver, string(id), reason, audit.Input{Name: "To", Value: string(o.record.To)})
}

// drop takes a job out of the tables; the image keeps it.
func (l *Leader) drop(id types.JobID) {
	j, ok := l.state.Jobs[id]
	if !ok {
		return
	}
	for _, t := range j.Tasks {
		delete(l.attempts, t.ID)
	}
	l.must(l.state.RemoveJob(id))
}

// offerTick carries each committed offer on, by the one write that decides to whom the job belongs.
func (l *Leader) offerTick() {
	now := l.now()
	for _, o := range l.offers {
		if !o.committed || o.busy || o.settling || now.Before(o.next) {
			continue
		}
		l.carry(o)
	}
}

func (l *Leader) carry(o *offer) {
	image, ok := l.image.Jobs[o.record.Job]
	if !ok {
		delete(l.offers, o.record.Job)
		return
	}
	o.busy = true
	o.tries++
	o.next = l.now().Add(offerRetry)
	transfer := Transfer{Job: image.Spec, From: l.site(), To: o.record.To, Hop: o.record.Hop}
	target, reachable := l.entryOf(o.record.To, o.tries)
	if !reachable {
		transfer.To = l.site()
	}
	l.do(func(ctx context.Context) func() {
		v := l.transfer(ctx, transfer, target)
		return func() { l.carried(o, v) }
	})
}

// transfer decides to whom the job belongs, and has the new owner take it in.
func (l *Leader) transfer(ctx context.Context, t Transfer, target peer.Target) verdict {
	limited, cancel := clockwork.WithTimeout(ctx, l.cfg.Clock, takeTimeout)
	defer cancel()
	l.hook(stepOffer)
	owner, err := l.decide(limited, t)
	if err != nil || owner == l.site() {
		return verdict{owner: owner, err: err}
	}
	if target.VM == "" || target.Site.DataCentre != owner {
		return verdict{owner: owner, err: errs.New(errs.Unavailable, "no entry of %s is known", owner)}
	}
	l.hook(stepTake)
	t.To = owner
	err = l.cfg.Peers.Call(limited, target, MethodTake, &t, &Taken{})
	return verdict{owner: owner, taken: err == nil, err: err}
}

// decide writes the key of the hop once; if it exists, its value holds.
func (l *Leader) decide(ctx context.Context, t Transfer) (types.DataCentre, error) {
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

func (l *Leader) carried(o *offer, v verdict) {
	o.busy = false
	if l.offers[o.record.Job] != o {
		return
	}
	if v.err != nil {
		l.count("HandOversDelayed")
		if v.owner != "" {
			o.record.To = v.owner
		}
		return
	}
	if v.owner == l.site() {
		l.keepJob(o)
		return
	}
	if v.taken {
		l.moveJob(o, v.owner)
	}
}

// keepJob ends an offer that was withdrawn.
func (l *Leader) keepJob(o *offer) {
	id := o.record.Job
	o.settling = true
	l.writer.add(item{
		record: commit.Record{Keep: &commit.Keep{Job: id, Hop: o.record.Hop}},
		retry:  true,
		done: func() {
			if l.closed(o) {
				l.restore(l.image.Jobs[id])
			}
		},
	})
}

// closed forgets an offer that has ended. It tells whether the offer was the job's latest.
func (l *Leader) closed(o *offer) bool {
	if l.offers[o.record.Job] != o {
		return false
	}
	delete(l.offers, o.record.Job)
	return true
}

// moveJob ends an offer that was taken.
func (l *Leader) moveJob(o *offer, to types.DataCentre) {
	id := o.record.Job
	o.settling = true
	l.writer.add(item{
		record: commit.Record{Moved: &commit.Moved{Job: id, To: to, Hop: o.record.Hop}},
		retry:  true,
		done: func() {
			if l.closed(o) {
				l.count("HandOvers")
			}
		},
	})
}

// AcceptTransfer takes in a job that another data centre hands over, once the store shows that it belongs here. It is
// committed when the answer is not an error; taking it in again changes nothing.
func (l *Leader) AcceptTransfer(ctx context.Context, t Transfer) (Taken, error) {
	out := Taken{Job: t.Job.ID}
	found, err := readTransfer(ctx, l.cfg.Store, handoverKey(t.Job.ID, t.Hop))
	if err != nil {
		return out, err
	}
	if found.To != l.site() {
		return out, errs.New(errs.Conflict, "job %s belongs to %s", t.Job.ID, found.To)
	}
	l.mu.Lock()
	w, err := l.takeIn(found)
	l.mu.Unlock()
	if err != nil || w == nil {
		return out, err
	}
	select {
	case err := <-w.done:
		return out, err
	case <-ctx.Done():
		return out, errs.New(errs.Unknown, "taking in %s: %v", t.Job.ID, ctx.Err())
	}
}

func (l *Leader) takeIn(t Transfer) (*waiter, error) {
	if err := l.canCommit(); err != nil {
		return nil, err
	}
	if j, known := l.image.Jobs[t.Job.ID]; known && j.Hop >= t.Hop {
		return nil, nil
	}
	w := &waiter{done: make(chan error, 1)}
	l.accept(commit.Accept{Job: t.Job, Hop: t.Hop}, w.done)
	return w, nil
}

// entryOf returns a live entry daemon of a data centre, another one at each turn.
func (l *Leader) entryOf(site types.DataCentre, turn int) (peer.Target, bool) {
	var live []peer.Target
	for _, e := range l.cfg.Entries() {
		if e.Site.DataCentre == site {
			live = append(live, e)
		}
	}
	if len(live) == 0 {
		return peer.Target{}, false
	}
	return live[turn%len(live)], true
}

func handoverKey(id types.JobID, hop int) store.Key {
	return handoverPrefix + store.Key(id.Task(hop))
}

func readTransfer(ctx context.Context, s store.Store, key store.Key) (Transfer, error) {
	entry, err := s.Get(ctx, key)
	if err != nil {
		return Transfer{}, err
	}
	var out Transfer
	if err := store.Open(entry.Value, &out); err != nil {
		return Transfer{}, err
	}
	return out, nil
}
