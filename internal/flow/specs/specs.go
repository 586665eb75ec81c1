// Package specs holds the records of jobs that run in steps: the jobs that callers submit, the queues to which they
// submit them, and the names of tasks and runners.
package specs

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// Limits of a job: the bytes of its payload, its steps, and the tasks of one step.
const (
	MaxPayload = 64 << 10
	MaxSteps   = 256
	MaxWidth   = 10_000
	maxIDBytes = 64

	// MaxTasks limits the tasks of a job in all its steps and occurrences. The leader holds all of them, at about 180 bytes each;
	// without the limit one submission of 4 KB makes 2.56 million tasks, 394 MB, and a schedule makes any number.
	MaxTasks = 50_000
	// MaxScheduleSpan limits the time from the first occurrence of a schedule to the last, so that no due time overflows.
	MaxScheduleSpan = 10 * 365 * 24 * time.Hour
	// maxTaskAmount limits each resource of a task, so that sums over tasks do not overflow.
	maxTaskAmount = 1 << 32
	// maxTaskTime limits the estimate and the tail latency of a task, so that sums over steps do not overflow.
	maxTaskTime = 365 * 24 * time.Hour

	// expectedCallRunners is how many runners the call names that the objective of a step includes.
	expectedCallRunners = 30
	// longCallWork is the work above which a call for advice counts as long; short calls must not wait behind long
	// ones.
	longCallWork = 40 * time.Millisecond

	refParts  = 4
	stepParts = 3
)

type (
	// JobID is the id that the caller chose for its job.
	JobID string
	// QueueName names a queue.
	QueueName string
	// RunnerID identifies a runner.
	RunnerID string
	// Label is a property of a runner that steps can require.
	Label string
	// Boot distinguishes the process starts of one runner: the Unix time of the start in milliseconds.
	Boot int64
	// Attempt numbers the tries of a task, from 1.
	Attempt int
	// Checkpoint is a saved state from which a task can resume; empty means none.
	Checkpoint string

	// Step is a set of equal tasks of a job.
	Step struct {
		Count     int             `json:"Count"`
		Resources types.Resources `json:"Resources"`
		// Estimate is the caller's rough estimate of a task's run time; zero means none.
		Estimate time.Duration `json:"Estimate,omitempty"`
		// After lists the indexes of earlier steps that must be done before this one starts.
		After      []int `json:"After,omitempty"`
		Checkpoint bool  `json:"Checkpoint,omitempty"`
		// Gang means that the tasks only work together: all start in one attempt and end together.
		Gang bool `json:"Gang,omitempty"`
		// SameRack means that the tasks run slower when they are spread over several racks.
		SameRack bool `json:"SameRack,omitempty"`
		// Label is the label that a runner must have; empty means any runner.
		Label Label `json:"Label,omitempty"`
		// Rack is the label of the rack where the tasks run fastest; empty means any.
		Rack Label `json:"Rack,omitempty"`
		// PerRunner limits the tasks of the step on one runner; 0 means no limit.
		PerRunner int `json:"PerRunner,omitempty"`
		// Speculative means that copies of a task may run in parallel.
		Speculative bool `json:"Speculative,omitempty"`
		// Service means that the tasks run until the job is cancelled.
		Service bool `json:"Service,omitempty"`
		// Image names the container image that the tasks run; tasks of one image behave alike.
		Image string `json:"Image,omitempty"`
		// TailLatency is the tail latency that the users of a service task expect; zero means that it has no such users.
		TailLatency time.Duration `json:"TailLatency,omitempty"`
		// Fills means that the tasks use only the cores that others leave unused; their cores are not counted against the
		// capacity.
		Fills bool `json:"Fills,omitempty"`
		// MayMiss is the number of a service's tasks that may be missing because of the scheduler's own actions.
		MayMiss int `json:"MayMiss,omitempty"`
	}

	// Schedule repeats a job's steps Count times, at the given interval from First on.
	Schedule struct {
		Count    int           `json:"Count"`
		First    time.Time     `json:"First"`
		Interval time.Duration `json:"Interval"`
	}

	// AdvicePolicy is the policy of a queue whose steps may run only on runners that the advice service allows.
	AdvicePolicy struct {
		// Decision is how long the advice service works on one call, and PerRunner the time on top of that for each
		// runner that the call names.
		Decision  time.Duration `json:"Decision"`
		PerRunner time.Duration `json:"PerRunner"`
		// Validity is the time after which a ticket expires.
		Validity time.Duration `json:"Validity"`
	}

	// AdviceBudget is the work that the advice service may still be given now, with short calls and with long ones.
	// An exhausted budget is zero or negative.
	AdviceBudget struct {
		Short time.Duration
		Long  time.Duration
	}

	// Queue is the policy under which jobs run.
	Queue struct {
		Name QueueName `json:"Name"`
		// Version is that of the catalog from which the policy is; 0 when it is not known, since a build before versions wrote it. Of two
		// policies of a queue the one of the newer catalog is in force, wherever they come from.
		Version CatalogVersion    `json:"Version,omitempty"`
		Service types.ServiceName `json:"Service"`
		// Priority ranks the queues; 0 is served first.
		Priority    int `json:"Priority"`
		MaxAttempts int `json:"MaxAttempts"`
		// Stretch times the critical path of a job, plus Latency, is the time in which the job should be done.
		Stretch float64       `json:"Stretch"`
		Latency time.Duration `json:"Latency"`
		Advice  *AdvicePolicy `json:"Advice,omitempty"`
	}

	// Job is a caller's job with the newest policy of its queue that is known, in the ledger that of its acceptance.
	Job struct {
		ID       JobID     `json:"ID"`
		Queue    Queue     `json:"Queue"`
		Payload  Payload   `json:"Payload"`
		Steps    []Step    `json:"Steps"`
		Schedule *Schedule `json:"Schedule,omitempty"`
		Accepted time.Time `json:"Accepted"`
		// Organisation is the organisation to which the job belongs; empty means none.
		Organisation OrganisationName `json:"Organisation,omitempty"`
		// Surplus means that the organisation had used up its weight when the job was accepted: the job is served from what
		// other jobs leave.
		Surplus bool `json:"Surplus,omitempty"`
	}

	// StepRef identifies one step of one occurrence of a job. Occurrences and steps are counted from 0.
	StepRef struct {
		Job        JobID
		Occurrence int
		Step       int
	}

	// Ref identifies one task of a step; Index counts from 0.
	Ref struct {
		StepRef
		Index int
	}
)

// String returns the text form, JOB.OCCURRENCE.STEP.
func (r StepRef) String() string {
	return string(r.Job) + "." + strconv.Itoa(r.Occurrence) + "." + strconv.Itoa(r.Step)
}

// String returns the text form, JOB.OCCURRENCE.STEP.INDEX.
func (r Ref) String() string {
	return r.StepRef.String() + "." + strconv.Itoa(r.Index)
}

// MarshalText returns the text form. The error is always nil.
func (r Ref) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText parses the text form. It returns an error of kind Invalid if the text has another form.
func (r *Ref) UnmarshalText(text []byte) error {
	parsed, err := ParseRef(string(text))
	if err != nil {
		return err
	}
	*r = parsed
	return nil
}

// ParseRef parses the text form of a Ref. It returns an error of kind Invalid if the text has another form.
func ParseRef(text string) (Ref, error) {
	parts := strings.Split(text, ".")
	if len(parts) != refParts || parts[0] == "" {
		return Ref{}, errs.New(errs.Invalid, "task %q is not of the form job.occurrence.step.index", text)
	}
	var numbers [stepParts]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return Ref{}, errs.New(errs.Invalid, "task %q: occurrence, step and index must be whole numbers from 0", text)
		}
		numbers[i] = n
	}
	step := StepRef{Job: JobID(parts[0]), Occurrence: numbers[0], Step: numbers[1]}
	return Ref{StepRef: step, Index: numbers[2]}, nil
}

// Supersedes reports whether the policy is from a newer catalog than another one of its queue.
func (q *Queue) Supersedes(other *Queue) bool {
	return q.Version > other.Version
}

// CallDuration returns how long the advice service works on a call that names the given number of runners.
func (a AdvicePolicy) CallDuration(runners int) time.Duration {
	return a.Decision + time.Duration(runners)*a.PerRunner
}

// ExpectedCall returns the time for a call for advice that the objective of a step includes by the platform's rules: that of a call on
// expectedCallRunners runners. It is zero without a policy.
func (a *AdvicePolicy) ExpectedCall() time.Duration {
	if a == nil {
		return 0
	}
	return a.CallDuration(expectedCallRunners)
}

// IsLong reports whether a call for advice with the given work counts as long.
func IsLong(work time.Duration) bool {
	return work > longCallWork
}

// Spend subtracts the work of a call from the budget. It returns false, and subtracts nothing, if the budget does not
// allow the call.
func (b *AdviceBudget) Spend(work time.Duration) bool {
	if !b.Allows(work) {
		return false
	}
	*b.budgetFor(work) -= work
	return true
}

// Allows reports whether a call with the given work may be made: some budget for calls of its length must be left, but
// the work may exceed it.
func (b *AdviceBudget) Allows(work time.Duration) bool {
	return *b.budgetFor(work) > 0
}

// budgetFor returns the part of the budget from which a call with the given work is taken.
func (b *AdviceBudget) budgetFor(work time.Duration) *time.Duration {
	if IsLong(work) {
		return &b.Long
	}
	return &b.Short
}

// Occurrences returns how many times the job's steps run.
func (j *Job) Occurrences() int {
	if j.Schedule == nil {
		return 1
	}
	return j.Schedule.Count
}

// Due returns the time from which an occurrence may start.
func (j *Job) Due(occurrence int) time.Time {
	if j.Schedule == nil {
		return j.Accepted
	}
	return j.Schedule.First.Add(time.Duration(occurrence) * j.Schedule.Interval)
}

// IsService reports whether tasks of the job run until it is cancelled.
func (j *Job) IsService() bool {
	return slices.ContainsFunc(j.Steps, func(s Step) bool { return s.Service })
}

// Check returns an error for the first field that is wrong: of kind TooLarge for a payload over MaxPayload, otherwise of
// kind Invalid.
func (j *Job) Check() error {
	if j.ID == "" || len(j.ID) > maxIDBytes || strings.ContainsAny(string(j.ID), "./") {
		return errs.New(errs.Invalid, "ID %q must have 1 to %d characters and no dot or slash", j.ID, maxIDBytes)
	}
	if len(j.Payload) > MaxPayload {
		return errs.New(errs.TooLarge, "Payload is over %d bytes", MaxPayload)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return errs.New(errs.Invalid, "Steps must have 1 to %d entries, has %d", MaxSteps, len(j.Steps))
	}
	if j.Schedule != nil {
		if err := j.Schedule.check(); err != nil {
			return err
		}
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
		tasks += j.Steps[i].Count
	}
	if tasks > MaxTasks/j.Occurrences() {
		return errs.New(errs.TooLarge, "job has %d tasks in each of %d occurrences, more than %d in all", tasks, j.Occurrences(), MaxTasks)
	}
	return nil
}

// CheckForm returns an error of kind Invalid unless the tables can hold the job: its steps have tasks and follow earlier
// ones. It allows jobs above the limits of Check, which earlier versions may have accepted.
func (j *Job) CheckForm() error {
	if j.ID == "" || j.Occurrences() < 1 {
		return errs.New(errs.Invalid, "a job must have an ID and at least one occurrence, this one has the ID %q and %d occurrences", j.ID, j.Occurrences())
	}
	for i := range j.Steps {
		if count := j.Steps[i].Count; count < 1 || count > MaxWidth {
			return errs.New(errs.Invalid, "Steps[%d].Count %d must be within 1 and %d", i, count, MaxWidth)
		}
		if err := j.Steps[i].checkAfter(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Schedule) check() error {
	if s.Count < 1 || s.Interval < 0 {
		return errs.New(errs.Invalid, "Schedule must have a Count of at least 1 and an Interval of at least 0")
	}
	if s.Interval > MaxScheduleSpan/time.Duration(s.Count) {
		return errs.New(errs.Invalid, "Schedule of %d occurrences every %s is longer than %s", s.Count, s.Interval, MaxScheduleSpan)
	}
	return nil
}

func (s *Step) check(index int) error {
	if s.Count < 1 || s.Count > MaxWidth {
		return errs.New(errs.Invalid, "Steps[%d].Count %d must be within 1 and %d", index, s.Count, MaxWidth)
	}
	if err := s.Resources.Check(); err != nil {
		return err
	}
	if max(int64(s.Resources.Cores), int64(s.Resources.Memory), int64(s.Resources.Accelerators)) > maxTaskAmount {
		return errs.New(errs.Invalid, "Steps[%d].Resources must be at most %d of each", index, int64(maxTaskAmount))
	}
	if s.Estimate < 0 || s.PerRunner < 0 || s.MayMiss < 0 {
		return errs.New(errs.Invalid, "Steps[%d]: Estimate, PerRunner and MayMiss must not be negative", index)
	}
	if s.Estimate > maxTaskTime || s.TailLatency < 0 || s.TailLatency > maxTaskTime {
		return errs.New(errs.Invalid, "Steps[%d]: Estimate and TailLatency must be within 0 and %s", index, maxTaskTime)
	}
	return s.checkAfter(index)
}

func (s *Step) checkAfter(index int) error {
	for _, a := range s.After {
		if a < 0 || a >= index {
			return errs.New(errs.Invalid, "Steps[%d].After %d must be the index of an earlier step", index, a)
		}
	}
	return nil
}
