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

// requestState is a request and the state of its dispatch.
type requestState struct {
	id        types.RequestID
	service   types.ServiceName
	team      types.TeamID
	class     types.Class
	body      []byte
	arrivedAt time.Time
	deadline  time.Time
	// idempotent requests may be dispatched again after an attempt that is in doubt.
	idempotent bool
	// mayHaveRun is true once an attempt may have run at a runner.
	mayHaveRun bool
	// avoid is the runner of the last failed attempt; the next one goes to another runner if possible.
	avoid types.RunnerID
}

// Do runs one request and returns its answer as soon as the outcome is known.
func (e *Entry) Do(ctx context.Context, req *types.Request) *types.Answer {
	if err := req.Check(); err != nil {
		return e.countOutcome(types.NewUnfinishedAnswer(req.ID, types.OutcomeNotRun, err))
	}
	if !e.beginRequest() {
		return e.countOutcome(e.rejectAndClose(ctx, req, errs.After(errs.Draining, minRetryAfter, "%s is shutting down", e.config.Self.VM)))
	}
	defer e.endRequest()
	e.metrics.accepted.Inc(1)
	r, err := e.admit(req)
	if err != nil {
		return e.countOutcome(e.rejectAndClose(ctx, req, err))
	}
	if r.idempotent {
		return e.countOutcome(e.dispatchWithRetries(ctx, r))
	}
	return e.countOutcome(e.runOnce(ctx, r))
}

// admit checks a request against the environment document and the queue. It returns the request's state, with the class
// and deadline that the document allows.
func (e *Entry) admit(req *types.Request) (*requestState, error) {
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
	policy := doc.Policy(cappedClass(req.Class, team.MaxClass))
	r := &requestState{
		id: req.ID, service: req.Service, team: req.Team, class: policy.Class, body: req.Body,
		arrivedAt: now, deadline: deadlineOf(req, policy, now), idempotent: req.Idempotent,
	}
	if !r.deadline.After(now) {
		return nil, errs.New(errs.Deadline, "the deadline passed %s before the request arrived", now.Sub(r.deadline))
	}
	return r, e.checkAdmission(r, policy.Queue)
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

// cappedClass returns the class, or maxClass when the class is more urgent. An empty maxClass allows every class.
func cappedClass(class, maxClass types.Class) types.Class {
	if maxClass != "" && class.Rank() < maxClass.Rank() {
		return maxClass
	}
	return class
}

// runOnce runs a non-idempotent request if its home grants the id to this entry.
func (e *Entry) runOnce(ctx context.Context, r *requestState) *types.Answer {
	args := once.RegisterArgs{
		ID: r.id, Content: contentDigest(r.service, r.body), Token: once.NewToken(), Entry: e.config.Self.VM,
		Wait: r.deadline.Sub(r.arrivedAt),
	}
	limited, cancel := clockwork.WithDeadline(ctx, e.config.Clock, r.deadline)
	defer cancel()
	reply, err := e.config.Once.Register(limited, args)
	if err != nil {
		return e.unknownAnswer(r.id, err)
	}
	switch reply.Verdict {
	case once.VerdictGo:
		return e.dispatchOnce(ctx, r, args)
	case once.VerdictFinal:
		return reply.Answer
	default:
		return e.unknownAnswer(r.id, errs.After(errs.Unknown, minRetryAfter, "another call of %s is under way", r.id))
	}
}

// dispatchOnce runs a request whose id the home granted to this entry. It reports the answer to the home in the
// background.
func (e *Entry) dispatchOnce(ctx context.Context, r *requestState, args once.RegisterArgs) *types.Answer {
	answer := e.dispatchWithRetries(context.WithoutCancel(ctx), r)
	if answer.Outcome == types.OutcomeUnknown {
		answer = e.unknownAnswer(r.id, answer.Reason)
	}
	settle := once.SettleArgs{ID: r.id, Content: args.Content, Token: args.Token, Answer: e.retainedAnswer(answer)}
	if e.beginReport() {
		go func() {
			defer e.endRequest()
			e.config.Once.ReportAnswer(context.WithoutCancel(ctx), settle)
		}()
	}
	return answer
}

// beginReport counts the report of a final answer as in flight, also while the entry is draining, because it belongs to
// a request that was accepted. It always returns true.
func (e *Entry) beginReport() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight++
	return true
}

// retainedAnswer returns the answer as the home keeps it: without its body if that is larger than MaxKeptAnswer.
func (e *Entry) retainedAnswer(a *types.Answer) types.Answer {
	limit := envdoc.Default().Requests.MaxKeptAnswer
	if doc, _ := e.config.Document(); doc != nil {
		limit = doc.Requests.MaxKeptAnswer
	}
	if types.Bytes(len(a.Body)) > limit {
		return once.Withhold(*a, limit)
	}
	return *a
}

// rejectAndClose rejects a request before its dispatch. The id of a non-idempotent request is closed at its home first,
// so that no other call with the id runs after a caller was told that the request did not run.
func (e *Entry) rejectAndClose(ctx context.Context, req *types.Request, reason error) *types.Answer {
	if req.Idempotent {
		return types.NewUnfinishedAnswer(req.ID, types.OutcomeNotRun, reason)
	}
	reply, err := e.config.Once.Register(ctx, once.RegisterArgs{
		ID: req.ID, Content: contentDigest(req.Service, req.Body), Token: once.NewToken(), Entry: e.config.Self.VM,
		Close: errs.Of(reason),
	})
	switch {
	case err != nil:
		return e.unknownAnswer(req.ID, err)
	case reply.Verdict == once.VerdictFinal:
		return reply.Answer
	default:
		return e.unknownAnswer(req.ID, errs.After(errs.Unknown, minRetryAfter, "another call of %s is under way", req.ID))
	}
}

// Close closes a non-idempotent id that was not dispatched, so that it never runs, and returns its final answer.
func (e *Entry) Close(ctx context.Context, id types.RequestID) *types.Answer {
	req := &types.Request{ID: id}
	reason := errs.New(errs.Conflict, "the caller closed the id")
	reply, err := e.config.Once.Register(ctx, once.RegisterArgs{ID: req.ID, Token: once.NewToken(), Entry: e.config.Self.VM, Close: errs.Of(reason)})
	if err != nil {
		return e.unknownAnswer(id, err)
	}
	if reply.Verdict == once.VerdictFinal {
		return reply.Answer
	}
	return e.unknownAnswer(id, errs.After(errs.Unknown, minRetryAfter, "id %s is under way", id))
}

// countOutcome counts the outcome of an answer and returns the answer. It writes an audit record unless the outcome is
// Done.
func (e *Entry) countOutcome(a *types.Answer) *types.Answer {
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

// contentDigest returns the digest of service and body. A zero byte separates the two.
func contentDigest(service types.ServiceName, body []byte) types.Digest {
	joined := make([]byte, 0, len(service)+1+len(body))
	joined = append(joined, service...)
	joined = append(joined, 0)
	return types.DigestOf(append(joined, body...))
}
