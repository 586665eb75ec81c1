package check

import (
	"bytes"
	"fmt"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
)

// wholeAnswer compares each answer with what its caller must get, and each job reported as done with its tasks' runs.
func wholeAnswer(h *History) []Violation {
	ran := executionsByRequest(h)
	var out []Violation
	for i := range h.Exchanges {
		e := &h.Exchanges[i]
		if e.Answer == nil {
			continue
		}
		if detail := answerMismatch(e, len(ran[e.Request.ID]) > 0); detail != "" {
			out = append(out, e.violation(WholeAnswer, detail))
		}
	}
	return append(out, prematureDone(h)...)
}

// answerMismatch describes how an answer differs from what its caller must get. It returns an empty text if the answer
// is right. ran says whether a runner executed the request.
func answerMismatch(e *Exchange, ran bool) string {
	if e.Answer.ID != e.Request.ID {
		return fmt.Sprintf("got the answer to %s", e.Answer.ID)
	}
	if err := e.Answer.Check(); err != nil {
		return err.Error()
	}
	if e.Answer.Outcome != types.OutcomeDone {
		return ""
	}
	if !bytes.Equal(e.Answer.Body, e.Want) {
		return fmt.Sprintf("got %d bytes that differ from the %d wanted", len(e.Answer.Body), len(e.Want))
	}
	if !ran {
		return "reported as Done, but no runner ran it"
	}
	return ""
}

// prematureDone finds jobs that were reported as done although a task did not run to its end.
func prematureDone(h *History) []Violation {
	byTask := runsByTask(h)
	var out []Violation
	for _, s := range h.Submissions {
		if s.Status == nil || s.Status.State != types.JobDone {
			continue
		}
		for i := range s.Job.Workload().Tasks() {
			task := s.Job.ID.Task(i)
			if !hasPhase(byTask[task], worker.PhaseDone) {
				out = append(out, Violation{Promise: WholeAnswer, Subject: string(task), Detail: "the job was reported as Done, but the task did not run to its end"})
			}
		}
	}
	return out
}

// trueRefusal finds executions of refused requests and jobs. An execution is allowed if another exchange with the same
// request ID, sent before it, was not refused.
func trueRefusal(h *History) []Violation {
	ran := executionsByRequest(h)
	notRefused := exchangesNotRefused(h)
	var out []Violation
	for i := range h.Exchanges {
		e := &h.Exchanges[i]
		if !e.refused() {
			continue
		}
		for _, x := range ran[e.Request.ID] {
			if !isExplained(notRefused[e.Request.ID], x) {
				out = append(out, e.violation(TrueRefusal, fmt.Sprintf("ran on %s at %s", x.Runner, x.Start)))
			}
		}
	}
	return append(out, refusedJobs(h)...)
}

// refusedJobs finds runs of tasks of jobs that were refused at every submission.
func refusedJobs(h *History) []Violation {
	byTask := runsByTask(h)
	accepted := make(map[types.JobID]bool)
	for _, s := range h.Submissions {
		if !refused(s.Err) {
			accepted[s.Job.ID] = true
		}
	}
	var out []Violation
	for _, s := range h.Submissions {
		if accepted[s.Job.ID] {
			continue
		}
		for i := range s.Job.Workload().Tasks() {
			for _, p := range byTask[s.Job.ID.Task(i)] {
				out = append(out, Violation{
					Promise: TrueRefusal, Subject: string(s.Job.ID), At: p.run.Start,
					Detail: fmt.Sprintf("%s ran on %s", p.run.Attempt, p.worker),
				})
			}
		}
	}
	return out
}

// atMostOnce counts the executions of each non-idempotent request and the runs of each non-idempotent task. A run that
// ended at a checkpoint is not counted, since the next one continues it.
func atMostOnce(h *History) []Violation {
	ran := executionsByRequest(h)
	seen := make(map[types.RequestID]bool)
	var out []Violation
	for i := range h.Exchanges {
		e := &h.Exchanges[i]
		if e.Request.Idempotent || seen[e.Request.ID] {
			continue
		}
		seen[e.Request.ID] = true
		if n := len(ran[e.Request.ID]); n > 1 {
			out = append(out, e.violation(AtMostOnce, fmt.Sprintf("ran %d times", n)))
		}
	}
	return append(out, repeatedTasks(h)...)
}

// repeatedTasks finds non-idempotent tasks of batches and gangs that ran more than once.
func repeatedTasks(h *History) []Violation {
	byTask := runsByTask(h)
	var out []Violation
	for _, s := range h.Submissions {
		if s.Job.Task.Idempotent || s.Job.Service != nil {
			continue
		}
		for i := range s.Job.Workload().Tasks() {
			runs := 0
			for _, p := range byTask[s.Job.ID.Task(i)] {
				if p.run.Phase != worker.PhaseCheckpointed {
					runs++
				}
			}
			if runs > 1 {
				out = append(out, Violation{Promise: AtMostOnce, Subject: string(s.Job.ID.Task(i)), Detail: fmt.Sprintf("ran %d times", runs)})
			}
		}
	}
	return out
}

// noNewWork finds executions that began on a leaving runner after LeavingGrace, unless its leaving was revoked before.
func noNewWork(h *History) []Violation {
	var out []Violation
	for _, l := range h.Leavings {
		end := l.At.Add(LeavingGrace)
		for _, x := range h.Executions {
			revoked := !l.Until.IsZero() && !x.Start.Before(l.Until)
			if x.Runner == l.Runner && x.Start.After(end) && !revoked {
				out = append(out, Violation{
					Promise: NoNewWork, Subject: string(l.Runner), At: x.Start,
					Detail: fmt.Sprintf("ran %s %s after it was told to leave", x.ID, x.Start.Sub(l.At)),
				})
			}
		}
	}
	return out
}

// noneCutOff finds requests whose connection broke (an error of kind Lost) while their entry VM was shutting down.
func noneCutOff(h *History) []Violation {
	var out []Violation
	for i := range h.Exchanges {
		e := &h.Exchanges[i]
		if !errs.Is(e.Err, errs.Lost) {
			continue
		}
		for _, s := range h.Shutdowns {
			if s.VM == e.Entry && s.overlaps(Interval{From: e.SentAt, To: e.AnsweredAt}) {
				out = append(out, e.violation(NoneCutOff, fmt.Sprintf("connection broke while %s was shutting down: %v", s.VM, e.Err)))
			}
		}
	}
	return out
}

// refused reports whether the caller was told that the request did not run.
func (e *Exchange) refused() bool {
	if e.Answer != nil {
		return e.Answer.Outcome == types.OutcomeNotRun
	}
	return refused(e.Err)
}

func (e *Exchange) violation(p Promise, detail string) Violation {
	return Violation{Promise: p, Subject: string(e.Request.ID), At: e.AnsweredAt, Detail: detail}
}

func executionsByRequest(h *History) map[types.RequestID][]runner.Execution {
	out := make(map[types.RequestID][]runner.Execution)
	for _, x := range h.Executions {
		out[x.ID] = append(out[x.ID], x)
	}
	return out
}

func exchangesNotRefused(h *History) map[types.RequestID][]*Exchange {
	out := make(map[types.RequestID][]*Exchange)
	for i := range h.Exchanges {
		e := &h.Exchanges[i]
		if !e.refused() {
			out[e.Request.ID] = append(out[e.Request.ID], e)
		}
	}
	return out
}

// isExplained reports whether one of the exchanges was sent before the execution began.
func isExplained(notRefused []*Exchange, x runner.Execution) bool {
	for _, e := range notRefused {
		if !e.SentAt.After(x.Start) {
			return true
		}
	}
	return false
}

func hasPhase(runs []taskRun, phase worker.Phase) bool {
	for _, p := range runs {
		if p.run.Phase == phase {
			return true
		}
	}
	return false
}
