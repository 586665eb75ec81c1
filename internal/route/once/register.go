package once

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
)

const (
	askRetryAfter = time.Second
	// askWait is how long a question waits for the answer of an id that is under way. It covers the report of an answer that the caller
	// has already.
	askWait             = 500 * time.Millisecond
	tableFullRetryAfter = 5 * time.Second
)

// register grants the id to the caller, returns the final answer, or waits while another call with the id is in flight.
// VerdictWait means that the other call has not ended within args.Wait, or that maxWaiters calls wait already.
func (t *Table) register(args *RegisterArgs) (*RegisterReply, error) {
	if err := args.Check(); err != nil {
		return nil, err
	}
	reply, r, err := t.admit(args)
	if err != nil || reply.Verdict != VerdictWait || args.Wait == 0 {
		return reply, err
	}
	if !t.awaitAnswer(r, args.Wait) {
		return reply, nil
	}
	return t.replyAfterWait(args, r)
}

// admit decides on a registration without waiting. It also returns the record of the id, if there is one.
func (t *Table) admit(args *RegisterArgs) (*RegisterReply, *record, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	minted, err := t.parseOwnID(args.ID)
	if err != nil {
		return nil, nil, err
	}
	m := markOf(minted)
	g, ok := t.findOpenLedger(m)
	if !ok {
		return t.finalReply(t.closedAnswer(args.ID)), nil, nil
	}
	r, ok := g.find(args.ID, m)
	if ok {
		return t.decideKnown(args, r), r, nil
	}
	r, err = t.addRecord(g, args, m)
	if err != nil {
		return nil, nil, err
	}
	if args.Close != nil {
		return t.finalReply(r.answer), r, nil
	}
	return &RegisterReply{Verdict: VerdictGo, Mark: t.currentMark()}, r, nil
}

// decideKnown decides on the registration of an id that already has a record. The caller must hold t.mu.
func (t *Table) decideKnown(args *RegisterArgs, r *record) *RegisterReply {
	if args.Content != r.content && args.Content != 0 && r.content != 0 {
		reason := errs.New(errs.Conflict, "id %s was used for a request with another service or body", args.ID)
		return t.finalReply(types.NewUnfinishedAnswer(args.ID, types.OutcomeNotRun, reason))
	}
	if r.answer != nil {
		return t.finalReply(r.answer)
	}
	if r.token == args.Token && args.Close == nil {
		return &RegisterReply{Verdict: VerdictGo, Mark: t.currentMark()}
	}
	return &RegisterReply{Verdict: VerdictWait, Mark: t.currentMark()}
}

func (t *Table) finalReply(a *types.Answer) *RegisterReply {
	return &RegisterReply{Verdict: VerdictFinal, Answer: a, Mark: t.currentMark()}
}

// addRecord creates the record of an id that has none. The caller must hold t.mu.
func (t *Table) addRecord(g *ledger, args *RegisterArgs, m Mark) (*record, error) {
	if t.recordCount >= t.config.MaxIDs {
		return nil, errs.After(errs.Overloaded, tableFullRetryAfter, "the table of %s is full with %d ids", t.config.Self.Site.DataCentre, t.recordCount)
	}
	r := &record{content: args.Content, token: args.Token, entry: args.Entry, done: make(chan struct{})}
	g.put(args.ID, m.Generation, r)
	t.recordCount++
	if args.Close != nil {
		t.setAnswer(r, &types.Answer{ID: args.ID, Outcome: types.OutcomeNotRun, Digest: types.DigestOf(nil), Reason: args.Close})
	}
	return r, nil
}

func (t *Table) setAnswer(r *record, a *types.Answer) {
	r.answer = a
	close(r.done)
}

// awaitAnswer waits until the record is done. It returns false when the time is over first, or at once when maxWaiters
// calls already wait.
func (t *Table) awaitAnswer(r *record, wait time.Duration) bool {
	if !t.addWaiters(1) {
		return false
	}
	defer t.addWaiters(-1)
	timer := t.config.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-r.done:
		return true
	case <-timer.Chan():
		return false
	}
}

func (t *Table) addWaiters(n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n > 0 && t.waiters >= maxWaiters {
		return false
	}
	t.waiters += n
	return true
}

// replyAfterWait decides on a registration once the call that it waited for has ended.
func (t *Table) replyAfterWait(args *RegisterArgs, r *record) (*RegisterReply, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.answer != nil {
		return t.finalReply(r.answer), nil
	}
	return nil, errs.New(errs.Fenced, "%s is no longer the lead for %s", t.config.Self.VM, args.ID)
}

// recordAnswer stores the final answer reported by the entry to which the id was granted. It ignores reports with
// another token and all reports after the first.
func (t *Table) recordAnswer(args *SettleArgs) error {
	if err := args.Check(); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	minted, err := t.parseOwnID(args.ID)
	if err != nil {
		return err
	}
	m := markOf(minted)
	g, ok := t.findOpenLedger(m)
	if !ok {
		t.archiveAnswer(args)
		return nil
	}
	r, ok := g.find(args.ID, m)
	if !ok {
		return t.closeUnregistered(g, args, m)
	}
	if r.token != args.Token || r.answer != nil {
		return nil
	}
	t.completeRecord(r, args)
	return nil
}

// archiveAnswer stores the answer to an id that an earlier leader granted. The caller must hold t.mu.
func (t *Table) archiveAnswer(args *SettleArgs) {
	if args.Answer.Outcome != types.OutcomeDone {
		return
	}
	c := Copied{Content: args.Content, Answer: t.withholdIfTooLarge(args.Answer)}
	t.archive.put(c)
	t.outbox = append(t.outbox, c)
}

// closeUnregistered closes an id whose registration has not arrived, so that the id does not run if the registration
// arrives late. It accepts only the outcome NotRun. The caller must hold t.mu.
func (t *Table) closeUnregistered(g *ledger, args *SettleArgs, m Mark) error {
	if args.Answer.Outcome != types.OutcomeNotRun {
		return errs.New(errs.NotFound, "id %s was not granted to any entry", args.ID)
	}
	_, err := t.addRecord(g, &RegisterArgs{ID: args.ID, Content: args.Content, Token: args.Token, Close: args.Answer.Reason}, m)
	return err
}

func (t *Table) completeRecord(r *record, args *SettleArgs) {
	answer := t.withholdIfTooLarge(args.Answer)
	t.setAnswer(r, &answer)
	t.bodies.add(r)
	metrics.GetOrRegisterCounter("Once.Settled."+string(answer.Outcome), t.config.Metrics).Inc(1)
	t.config.Audit.Record(audit.Record{
		Actor: string(r.entry), Verb: audit.VerbAnswer, Subject: string(args.ID), Cause: string(answer.Outcome), Epoch: t.epoch,
	})
	if answer.Outcome == types.OutcomeDone {
		t.outbox = append(t.outbox, Copied{Content: r.content, Answer: answer})
	}
}

func (t *Table) withholdIfTooLarge(a types.Answer) types.Answer {
	limit := t.config.Policy().MaxKeptAnswer
	if types.Bytes(len(a.Body)) > limit {
		return Withhold(a, limit)
	}
	return a
}

// ask returns the answer to an id as far as it is known, without closing the id. While the entry that was granted the id has reported
// no answer, it waits for one for askWait: the entry reports an answer when it has delivered it, so a caller may ask before that.
func (t *Table) ask(id types.RequestID) (*types.Answer, error) {
	answer, r, err := t.lookUpAnswer(id)
	if r == nil || !t.awaitAnswer(r, askWait) {
		return answer, err
	}
	answer, _, err = t.lookUpAnswer(id)
	return answer, err
}

// lookUpAnswer returns the answer to an id as far as it is known. It also returns the record of an id that has no answer yet.
func (t *Table) lookUpAnswer(id types.RequestID) (*types.Answer, *record, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	minted, err := t.parseOwnID(id)
	if err != nil {
		return nil, nil, err
	}
	m := markOf(minted)
	g, ok := t.findOpenLedger(m)
	if !ok {
		return t.closedAnswer(id), nil, nil
	}
	r, ok := g.find(id, m)
	if !ok {
		reason := errs.After(errs.NotFound, askRetryAfter, "no non-idempotent request with id %s was registered so far", id)
		return unknownAnswer(id, reason, t.config.Self), nil, nil
	}
	if r.answer == nil {
		reason := errs.After(errs.Unknown, askRetryAfter, "id %s was given to %s and is not settled", id, r.entry)
		return unknownAnswer(id, reason, t.config.Self), r, nil
	}
	return r.answer, nil, nil
}
