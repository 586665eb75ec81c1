package once

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
)

const (
	askAgainAfter  = time.Second
	fullRetryAfter = 5 * time.Second
)

// register gives the id to the caller, makes it wait for another call, or returns the final answer.
func (t *Table) register(args *RegisterArgs) (*RegisterReply, error) {
	if err := args.Check(); err != nil {
		return nil, err
	}
	reply, r, err := t.admit(args)
	if err != nil || reply.Verdict != VerdictWait || args.Wait == 0 {
		return reply, err
	}
	if !t.await(r, args.Wait) {
		return reply, nil
	}
	return t.after(args, r)
}

// admit decides on an id without waiting.
func (t *Table) admit(args *RegisterArgs) (*RegisterReply, *record, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	minted, err := t.parse(args.ID)
	if err != nil {
		return nil, nil, err
	}
	m := markOf(minted)
	g, ok := t.open(m)
	if !ok {
		return t.final(t.closedForGood(args.ID)), nil, nil
	}
	r, ok := g.find(args.ID, m)
	if ok {
		return t.known(args, r), r, nil
	}
	r, err = t.add(g, args, m)
	if err != nil {
		return nil, nil, err
	}
	if args.Close != nil {
		return t.final(r.answer), r, nil
	}
	return &RegisterReply{Verdict: VerdictGo, Mark: t.mark()}, r, nil
}

// known decides on an id that is in the table.
func (t *Table) known(args *RegisterArgs, r *record) *RegisterReply {
	if args.Content != r.content && args.Content != 0 && r.content != 0 {
		reason := errs.New(errs.Conflict, "id %s was used for a request with another service or body", args.ID)
		return t.final(types.Refused(args.ID, types.OutcomeNotRun, reason))
	}
	if r.answer != nil {
		return t.final(r.answer)
	}
	if r.token == args.Token && args.Close == nil {
		return &RegisterReply{Verdict: VerdictGo, Mark: t.mark()}
	}
	return &RegisterReply{Verdict: VerdictWait, Mark: t.mark()}
}

func (t *Table) final(a *types.Answer) *RegisterReply {
	return &RegisterReply{Verdict: VerdictFinal, Answer: a, Mark: t.mark()}
}

// add makes the record of an id that was never seen.
func (t *Table) add(g *ledger, args *RegisterArgs, m Mark) (*record, error) {
	if t.count >= t.config.MaxIDs {
		return nil, errs.After(errs.Overloaded, fullRetryAfter, "the table of %s is full with %d ids", t.config.Self.Site.DataCentre, t.count)
	}
	r := &record{content: args.Content, token: args.Token, entry: args.Entry, settled: make(chan struct{})}
	g.put(args.ID, m.Generation, r)
	t.count++
	if args.Close != nil {
		t.close(r, &types.Answer{ID: args.ID, Outcome: types.OutcomeNotRun, Digest: types.DigestOf(nil), Reason: args.Close})
	}
	return r, nil
}

func (t *Table) close(r *record, a *types.Answer) {
	r.answer = a
	close(r.settled)
}

// await waits until the record is settled; it returns false when the time is over first or too many calls wait.
func (t *Table) await(r *record, wait time.Duration) bool {
	if !t.addWaiter(1) {
		return false
	}
	defer t.addWaiter(-1)
	timer := t.config.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-r.settled:
		return true
	case <-timer.Chan():
		return false
	}
}

func (t *Table) addWaiter(n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n > 0 && t.waiters >= maxWaiters {
		return false
	}
	t.waiters += n
	return true
}

// after decides on an id once the call that it waited for has ended.
func (t *Table) after(args *RegisterArgs, r *record) (*RegisterReply, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.answer != nil {
		return t.final(r.answer), nil
	}
	return nil, errs.New(errs.Fenced, "%s is no longer the lead for %s", t.config.Self.VM, args.ID)
}

// settle takes the final answer from the entry that was given the id.
func (t *Table) settle(args *SettleArgs) error {
	if err := args.Check(); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	minted, err := t.parse(args.ID)
	if err != nil {
		return err
	}
	m := markOf(minted)
	g, ok := t.open(m)
	if !ok {
		t.settleOld(args)
		return nil
	}
	r, ok := g.find(args.ID, m)
	if !ok {
		return t.settleAbsent(g, args, m)
	}
	if r.token != args.Token || r.answer != nil {
		return nil
	}
	t.keep(r, args)
	return nil
}

// settleOld keeps the answer of an id that an earlier lead gave out.
func (t *Table) settleOld(args *SettleArgs) {
	if args.Answer.Outcome != types.OutcomeDone {
		return
	}
	c := Copied{Content: args.Content, Answer: t.limited(args.Answer)}
	t.kept.put(c)
	t.outbox = append(t.outbox, c)
}

// settleAbsent closes an id whose registration did not arrive, so that it does not run if that comes late.
func (t *Table) settleAbsent(g *ledger, args *SettleArgs, m Mark) error {
	if args.Answer.Outcome != types.OutcomeNotRun {
		return errs.New(errs.NotFound, "id %s was not given out", args.ID)
	}
	_, err := t.add(g, &RegisterArgs{ID: args.ID, Content: args.Content, Token: args.Token, Close: args.Answer.Reason}, m)
	return err
}

func (t *Table) keep(r *record, args *SettleArgs) {
	answer := t.limited(args.Answer)
	t.close(r, &answer)
	t.bodies.add(r)
	metrics.GetOrRegisterCounter("Once.Settled."+string(answer.Outcome), t.config.Metrics).Inc(1)
	t.config.Audit.Record(audit.Record{
		Actor: string(r.entry), Verb: audit.VerbAnswer, Subject: string(args.ID), Cause: string(answer.Outcome), Epoch: t.epoch,
	})
	if answer.Outcome == types.OutcomeDone {
		t.outbox = append(t.outbox, Copied{Content: r.content, Answer: answer})
	}
}

func (t *Table) limited(a types.Answer) types.Answer {
	limit := t.config.Policy().MaxKeptAnswer
	if types.Bytes(len(a.Body)) > limit {
		return Withhold(a, limit)
	}
	return a
}

// ask returns what is known of an id, without closing it.
func (t *Table) ask(id types.RequestID) (*types.Answer, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	minted, err := t.parse(id)
	if err != nil {
		return nil, err
	}
	m := markOf(minted)
	g, ok := t.open(m)
	if !ok {
		return t.closedForGood(id), nil
	}
	r, ok := g.find(id, m)
	if !ok {
		reason := errs.After(errs.NotFound, askAgainAfter, "no non-idempotent request with id %s was registered so far", id)
		return unknown(id, reason, t.config.Self), nil
	}
	if r.answer == nil {
		reason := errs.After(errs.Unknown, askAgainAfter, "id %s was given to %s and is not settled", id, r.entry)
		return unknown(id, reason, t.config.Self), nil
	}
	return r.answer, nil
}
