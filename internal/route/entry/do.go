package entry

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/route/once"
)

// task is one request on its way through the entry.
type task struct {
	id       types.RequestID
	service  types.ServiceName
	team     types.TeamID
	class    types.Class
	body     []byte
	arrived  time.Time
	deadline time.Time
	// idempotent requests may be dispatched again after an attempt whose fate is not known.
	idempotent bool
	// dispatched tells that an attempt may have run.
	dispatched bool
	avoid      types.RunnerID
}

// Do runs one request and returns what became of it. It returns as soon as that is known.
func (e *Entry) Do(ctx context.Context, req *types.Request) *types.Answer {
	if err := req.Check(); err != nil {
		return e.count(types.Refused(req.ID, types.OutcomeNotRun, err))
	}
	if !e.enter() {
		return e.count(e.refuseFinally(ctx, req, errs.After(errs.Draining, minRetryAfter, "%s is shutting down", e.config.Self.VM)))
	}
	defer e.leave()
	e.metrics.accepted.Inc(1)
	t, err := e.admit(req)
	if err != nil {
		return e.count(e.refuseFinally(ctx, req, err))
	}
	if t.idempotent {
		return e.count(e.run(ctx, t))
	}
	return e.count(e.runOnce(ctx, t))
}

// admit applies the document to a request.
func (e *Entry) admit(req *types.Request) (*task, error) {
	doc, _ := e.config.Document()
	if doc == nil {
		return nil, errs.After(errs.Unavailable, time.Second, "no environment document is in force yet")
	}
	team, ok := doc.Team(req.Team)
	if !ok {
		return nil, errs.New(errs.Denied, "team %s is not in the document", req.Team)
	}
	if _, ok := doc.Service(req.Service); !ok {
		return nil, errs.New(errs.NotFound, "service %s is not in the document", req.Service)
	}
	now := e.config.Clock.Now()
	policy := doc.Policy(capped(req.Class, team.MaxClass))
	t := &task{
		id: req.ID, service: req.Service, team: req.Team, class: policy.Class, body: req.Body,
		arrived: now, deadline: deadlineOf(req, policy, now), idempotent: req.Idempotent,
	}
	if !t.deadline.After(now) {
		return nil, errs.New(errs.Deadline, "the deadline passed %s before the request arrived", now.Sub(t.deadline))
	}
	return t, e.room(t, policy.Queue)
}

func deadlineOf(req *types.Request, policy envdoc.ClassPolicy, now time.Time) time.Time {
	if req.Deadline.IsZero() {
		return now.Add(policy.Deadline)
	}
	latest := now.Add(types.MaxDeadline)
	if req.Deadline.After(latest) {
		return latest
	}
	return req.Deadline
}

// capped returns the class, or the most urgent one that the team may use.
func capped(class, most types.Class) types.Class {
	if most != "" && class.Rank() < most.Rank() {
		return most
	}
	return class
}

// runOnce runs a non-idempotent request if its home gives this entry the id.
func (e *Entry) runOnce(ctx context.Context, t *task) *types.Answer {
	args := once.RegisterArgs{
		ID: t.id, Content: contentOf(t.service, t.body), Token: once.NewToken(), Entry: e.config.Self.VM,
		Wait: t.deadline.Sub(t.arrived),
	}
	limited, cancel := clockwork.WithDeadline(ctx, e.config.Clock, t.deadline)
	defer cancel()
	reply, err := e.config.Once.Register(limited, args)
	if err != nil {
		return e.unknownAt(t.id, err)
	}
	switch reply.Verdict {
	case once.VerdictGo:
		return e.dispatchOnce(ctx, t, args)
	case once.VerdictFinal:
		return reply.Answer
	default:
		return e.unknownAt(t.id, errs.After(errs.Unknown, minRetryAfter, "another call of %s is under way", t.id))
	}
}

// dispatchOnce runs a request that the home gave to this entry and tells the home how it ended.
func (e *Entry) dispatchOnce(ctx context.Context, t *task, args once.RegisterArgs) *types.Answer {
	answer := e.run(context.WithoutCancel(ctx), t)
	if answer.Outcome == types.OutcomeUnknown {
		answer = e.unknownAt(t.id, answer.Reason)
	}
	settle := once.SettleArgs{ID: t.id, Content: args.Content, Token: args.Token, Answer: e.kept(answer)}
	if e.enterAnyway() {
		go func() {
			defer e.leave()
			e.config.Once.Settle(context.WithoutCancel(ctx), settle)
		}()
	}
	return answer
}

// enterAnyway counts work in that belongs to a request in flight.
func (e *Entry) enterAnyway() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight++
	return true
}

// kept returns the answer as the home keeps it.
func (e *Entry) kept(a *types.Answer) types.Answer {
	limit := envdoc.Default().Requests.MaxKeptAnswer
	if doc, _ := e.config.Document(); doc != nil {
		limit = doc.Requests.MaxKeptAnswer
	}
	if types.Bytes(len(a.Body)) > limit {
		return once.Withhold(*a, limit)
	}
	return *a
}

// refuseFinally refuses a request before its dispatch. A non-idempotent one is closed at its home first, so that no
// other call of the same id runs after a caller learned that it did not.
func (e *Entry) refuseFinally(ctx context.Context, req *types.Request, reason error) *types.Answer {
	if req.Idempotent {
		return types.Refused(req.ID, types.OutcomeNotRun, reason)
	}
	reply, err := e.config.Once.Register(ctx, once.RegisterArgs{
		ID: req.ID, Content: contentOf(req.Service, req.Body), Token: once.NewToken(), Entry: e.config.Self.VM,
		Close: errs.Of(reason),
	})
	switch {
	case err != nil:
		return e.unknownAt(req.ID, err)
	case reply.Verdict == once.VerdictFinal:
		return reply.Answer
	default:
		return e.unknownAt(req.ID, errs.After(errs.Unknown, minRetryAfter, "another call of %s is under way", req.ID))
	}
}

// Close closes a non-idempotent id that was not dispatched, so that it never runs, and returns its final answer.
func (e *Entry) Close(ctx context.Context, id types.RequestID) *types.Answer {
	req := &types.Request{ID: id}
	reason := errs.New(errs.Conflict, "the caller closed the id")
	reply, err := e.config.Once.Register(ctx, once.RegisterArgs{ID: req.ID, Token: once.NewToken(), Entry: e.config.Self.VM, Close: errs.Of(reason)})
	if err != nil {
		return e.unknownAt(id, err)
	}
	if reply.Verdict == once.VerdictFinal {
		return reply.Answer
	}
	return e.unknownAt(id, errs.After(errs.Unknown, minRetryAfter, "id %s is under way", id))
}

// count counts the outcome and writes the audit record of what was not Done.
func (e *Entry) count(a *types.Answer) *types.Answer {
	switch a.Outcome {
	case types.OutcomeDone:
		e.metrics.done.Inc(1)
		return a
	case types.OutcomeNotRun:
		e.metrics.notRun.Inc(1)
	default:
		e.metrics.unknown.Inc(1)
	}
	cause := string(a.Outcome)
	if a.Reason != nil {
		cause += ": " + a.Reason.Error()
	}
	e.config.Audit.Record(audit.Record{Actor: string(e.config.Self.VM), Verb: audit.VerbAnswer, Subject: string(a.ID), Cause: cause})
	return a
}

func contentOf(service types.ServiceName, body []byte) types.Digest {
	joined := make([]byte, 0, len(service)+1+len(body))
	joined = append(joined, service...)
	joined = append(joined, 0)
	return types.DigestOf(append(joined, body...))
}
