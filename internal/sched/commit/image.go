package commit

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// Retention is how long the committed state keeps a job that has ended.
const Retention = 24 * time.Hour

type (
	// CommittedState is the state that results from all records of the journal.
	CommittedState struct {
		Jobs map[types.JobID]*CommittedJob `json:"Jobs"`
	}

	// CommittedJob is the committed state of one job.
	CommittedJob struct {
		Spec      types.Job        `json:"Spec"`
		Accepted  time.Time        `json:"Accepted"`
		Hop       int              `json:"Hop,omitempty"`
		Cancelled bool             `json:"Cancelled,omitempty"`
		Offer     *Offer           `json:"Offer,omitempty"`
		MovedTo   types.DataCentre `json:"MovedTo,omitempty"`
		Ended     time.Time        `json:"Ended,omitzero"`
		// Tasks is empty once the job has ended and no task is in state Unknown; Ends is kept.
		Tasks []CommittedTask `json:"Tasks,omitempty"`
		Ends  Ends            `json:"Ends,omitzero"`
	}

	// Ends counts the tasks of a job that has ended, by state.
	Ends struct {
		Done      int    `json:"Done,omitempty"`
		Failed    int    `json:"Failed,omitempty"`
		Cancelled int    `json:"Cancelled,omitempty"`
		Unknown   int    `json:"Unknown,omitempty"`
		Reason    string `json:"Reason,omitempty"`
	}

	// CommittedTask is the committed state of one task. An empty state means waiting.
	CommittedTask struct {
		State    table.TaskState `json:"State,omitempty"`
		Number   int             `json:"Number,omitempty"`
		Worker   types.VMID      `json:"Worker,omitempty"`
		Boot     uint64          `json:"Boot,omitempty"`
		Resume   bool            `json:"Resume,omitempty"`
		Failures int             `json:"Failures,omitempty"`
		Reason   string          `json:"Reason,omitempty"`
		// At is when the task entered this state: when it was queued, assigned to a worker, ended or cancelled.
		At time.Time `json:"At,omitzero"`
	}
)

// NewCommittedState returns an empty committed state.
func NewCommittedState() *CommittedState {
	return &CommittedState{Jobs: make(map[types.JobID]*CommittedJob)}
}

// Apply applies one committed record; at is the time of its segment. A record that does not match the state
// changes nothing.
func (s *CommittedState) Apply(r Record, at time.Time) {
	switch {
	case r.Accept != nil:
		s.acceptJob(r.Accept, at)
	case r.Cancel != nil:
		s.cancelJob(r.Cancel, at)
	case r.Intent != nil:
		s.recordIntent(r.Intent, at)
	case r.End != nil:
		s.endAttempt(r.End, at)
	case r.Offer != nil:
		if j, ok := s.Jobs[r.Offer.Job]; ok {
			j.Offer = r.Offer
		}
	case r.Keep != nil:
		s.withdrawOffer(r.Keep)
	case r.Moved != nil:
		s.moveJob(r.Moved, at)
	}
}

// Task returns the committed state of a task, or nil when it is not known.
func (s *CommittedState) Task(id types.TaskID) *CommittedTask {
	j, ok := s.Jobs[id.Job()]
	index := id.Index()
	if !ok || index < 0 || index >= len(j.Tasks) {
		return nil
	}
	return &j.Tasks[index]
}

// Purge removes jobs that ended longer ago than Retention.
func (s *CommittedState) Purge(now time.Time) {
	for id, j := range s.Jobs {
		if !j.Ended.IsZero() && now.Sub(j.Ended) > Retention {
			delete(s.Jobs, id)
		}
	}
}

// acceptJob records an accepted job. One that returns from another data centre, with a higher hop, starts
// from scratch, even when this data centre has not learnt yet that its own offer was accepted.
func (s *CommittedState) acceptJob(a *Accept, at time.Time) {
	j, known := s.Jobs[a.Job.ID]
	returned := known && a.Hop > j.Hop && (j.MovedTo != "" || j.Offer != nil)
	if known && !returned && !j.Ended.IsZero() {
		return
	}
	if !known || returned {
		j = &CommittedJob{Accepted: at, Hop: a.Hop}
		s.Jobs[a.Job.ID] = j
	}
	j.Spec = a.Job
	for len(j.Tasks) < max(a.Tasks, a.Job.Workload().Tasks()) {
		j.Tasks = append(j.Tasks, CommittedTask{At: at})
	}
	j.updateEnded(at)
}

// cancelJob cancels a job that has not ended. A cancellation may be committed after the end, when both were under way; the
// job's tasks are dropped by then, and its counts must stay.
func (s *CommittedState) cancelJob(c *Cancel, at time.Time) {
	j, ok := s.Jobs[c.Job]
	if !ok || !j.Ended.IsZero() {
		return
	}
	j.Cancelled = true
	for n := range j.Tasks {
		if t := &j.Tasks[n]; t.Waiting() {
			t.State = table.TaskCancelled
			t.At = at
		}
	}
	j.updateEnded(at)
}

func (s *CommittedState) recordIntent(intent *Intent, at time.Time) {
	t := s.Task(intent.Task)
	if t == nil || intent.Number <= t.Number {
		return
	}
	t.State = table.TaskIntended
	t.Number = intent.Number
	t.Worker = intent.Worker
	t.Boot = intent.Boot
	t.Resume = intent.Resume
	t.At = at
}

func (s *CommittedState) endAttempt(e *End, at time.Time) {
	t := s.Task(e.Task)
	if t == nil || e.Number != t.Number {
		return
	}
	t.State = e.State
	t.Worker = ""
	t.Boot = 0
	t.Resume = e.Resume
	t.Reason = e.Reason
	t.At = at
	if e.Failed {
		t.Failures++
	}
	s.Jobs[e.Task.Job()].updateEnded(at)
}

func (s *CommittedState) withdrawOffer(k *Keep) {
	j, ok := s.Jobs[k.Job]
	if !ok || j.Offer == nil || j.Offer.Hop != k.Hop {
		return
	}
	j.Hop = j.Offer.Hop
	j.Offer = nil
}

func (s *CommittedState) moveJob(m *Moved, at time.Time) {
	j, ok := s.Jobs[m.Job]
	if !ok || j.Offer == nil || j.Offer.Hop != m.Hop {
		return
	}
	j.MovedTo = m.To
	j.Offer = nil
	j.Ended = at
	j.compact()
}

// updateEnded sets the counts and the time of the end once all tasks have ended, and clears the time while one
// has not. It then drops the data that nobody asks for any more, unless a task is in state Unknown: its attempt
// may still be reported as done.
func (j *CommittedJob) updateEnded(at time.Time) {
	var ends Ends
	for _, t := range j.Tasks {
		if !t.State.Ended() {
			j.Ended = time.Time{}
			return
		}
		ends.countTask(t)
	}
	j.Ends = ends
	if j.Ended.IsZero() {
		j.Ended = at
	}
	if ends.Unknown == 0 {
		j.compact()
	}
}

func (j *CommittedJob) compact() {
	j.Tasks = nil
	j.Spec.Task.Payload = ""
}

// Total returns the number of tasks that have ended.
func (e Ends) Total() int {
	return e.Done + e.Failed + e.Cancelled + e.Unknown
}

func (e *Ends) countTask(t CommittedTask) {
	switch t.State {
	case table.TaskDone:
		e.Done++
		return
	case table.TaskFailed:
		e.Failed++
	case table.TaskUnknown:
		e.Unknown++
	default:
		e.Cancelled++
	}
	if e.Reason == "" {
		e.Reason = t.Reason
	}
}

// Waiting reports whether the task waits, so that no attempt of it may run.
func (t CommittedTask) Waiting() bool {
	return t.State == "" || t.State == table.TaskWaiting
}
