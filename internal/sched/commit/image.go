package commit

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// Retention is how long the image keeps a job that has ended.
const Retention = 24 * time.Hour

type (
	// CommittedState is the state that the journal's records add up to.
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
		// Tasks is empty once the job has ended and the fate of each attempt is known; Ends is kept.
		Tasks []CommittedTask `json:"Tasks,omitempty"`
		Ends  Ends            `json:"Ends,omitzero"`
	}

	// Ends counts the tasks of a job that has ended.
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
		At       time.Time       `json:"At,omitzero"`
	}
)

// NewCommittedState returns an empty image.
func NewCommittedState() *CommittedState {
	return &CommittedState{Jobs: make(map[types.JobID]*CommittedJob)}
}

// Apply adds one committed record. Records that do not fit the state change nothing.
func (i *CommittedState) Apply(r Record, at time.Time) {
	switch {
	case r.Accept != nil:
		i.accept(r.Accept, at)
	case r.Cancel != nil:
		i.cancel(r.Cancel, at)
	case r.Intent != nil:
		i.intend(r.Intent, at)
	case r.End != nil:
		i.end(r.End, at)
	case r.Offer != nil:
		if j, ok := i.Jobs[r.Offer.Job]; ok {
			j.Offer = r.Offer
		}
	case r.Keep != nil:
		i.keep(r.Keep)
	case r.Moved != nil:
		i.moved(r.Moved, at)
	}
}

// Task returns the image of a task, or nil when it is not known.
func (i *CommittedState) Task(id types.TaskID) *CommittedTask {
	j, ok := i.Jobs[id.Job()]
	index := id.Index()
	if !ok || index < 0 || index >= len(j.Tasks) {
		return nil
	}
	return &j.Tasks[index]
}

// Purge drops jobs that ended longer ago than the retention.
func (i *CommittedState) Purge(now time.Time) {
	for id, j := range i.Jobs {
		if !j.Ended.IsZero() && now.Sub(j.Ended) > Retention {
			delete(i.Jobs, id)
		}
	}
}

// accept takes a job in. One that comes back from elsewhere, with a higher hop, starts anew, even when the
// home has not heard yet that its own offer was taken.
func (i *CommittedState) accept(a *Accept, at time.Time) {
	j, known := i.Jobs[a.Job.ID]
	back := known && a.Hop > j.Hop && (j.MovedTo != "" || j.Offer != nil)
	if known && !back && !j.Ended.IsZero() {
		return
	}
	if !known || back {
		j = &CommittedJob{Accepted: at, Hop: a.Hop}
		i.Jobs[a.Job.ID] = j
	}
	j.Spec = a.Job
	for len(j.Tasks) < max(a.Tasks, a.Job.Workload().Tasks()) {
		j.Tasks = append(j.Tasks, CommittedTask{At: at})
	}
	j.settle(at)
}

func (i *CommittedState) cancel(c *Cancel, at time.Time) {
	j, ok := i.Jobs[c.Job]
	if !ok {
		return
	}
	j.Cancelled = true
	for n := range j.Tasks {
		if t := &j.Tasks[n]; t.Waiting() {
			t.State = table.TaskCancelled
			t.At = at
		}
	}
	j.settle(at)
}

func (i *CommittedState) intend(n *Intent, at time.Time) {
	t := i.Task(n.Task)
	if t == nil || n.Number <= t.Number {
		return
	}
	t.State = table.TaskIntended
	t.Number = n.Number
	t.Worker = n.Worker
	t.Boot = n.Boot
	t.Resume = n.Resume
	t.At = at
}

func (i *CommittedState) end(e *End, at time.Time) {
	t := i.Task(e.Task)
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
	i.Jobs[e.Task.Job()].settle(at)
}

func (i *CommittedState) keep(k *Keep) {
	j, ok := i.Jobs[k.Job]
	if !ok || j.Offer == nil || j.Offer.Hop != k.Hop {
		return
	}
	j.Hop = j.Offer.Hop
	j.Offer = nil
}

func (i *CommittedState) moved(m *Moved, at time.Time) {
	j, ok := i.Jobs[m.Job]
	if !ok || j.Offer == nil || j.Offer.Hop != m.Hop {
		return
	}
	j.MovedTo = m.To
	j.Offer = nil
	j.Ended = at
	j.compact()
}

// settle notes that the last task ended, and drops what nobody asks about any more.
func (j *CommittedJob) settle(at time.Time) {
	var ends Ends
	for _, t := range j.Tasks {
		if !t.State.Ended() {
			j.Ended = time.Time{}
			return
		}
		ends.add(t)
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

// Total returns the number of tasks that ended.
func (e Ends) Total() int {
	return e.Done + e.Failed + e.Cancelled + e.Unknown
}

func (e *Ends) add(t CommittedTask) {
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

// Waiting tells whether no attempt of the task may run.
func (t CommittedTask) Waiting() bool {
	return t.State == "" || t.State == table.TaskWaiting
}
