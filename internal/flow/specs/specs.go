// Package specs holds the records of jobs that run in steps: what callers hand in, the queue that they hand
// it to, and the names of tasks and runners.
package specs

import (
	"strconv"
	"strings"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// Limits of a job.
const (
	MaxPayload = 64 << 10
	MaxSteps   = 256
	MaxWidth   = 10_000
	maxIDBytes = 64

	// longCallWork is the work above which a call for advice is a long one, which short ones must not wait behind.
	longCallWork = 40 * time.Millisecond

	refParts  = 4
	stepParts = 3
)

type (
	// JobID is the id that the caller chose for a job.
	JobID string
	// QueueName names a queue.
	QueueName string
	// RunnerID names one runner.
	RunnerID string
	// Label is a property that a runner has.
	Label string
	// Boot tells the lives of one runner apart: the Unix time of its start in milliseconds.
	Boot int64
	// Attempt numbers the starts of a task, from 1.
	Attempt int
	// Checkpoint is the state from which a task can go on; empty means none.
	Checkpoint string

	// Step is a set of equal tasks.
	Step struct {
		Count     int             `json:"Count"`
		Resources types.Resources `json:"Resources"`
		// Estimate is the caller's rough guess of a task's run time.
		Estimate time.Duration `json:"Estimate,omitempty"`
		// After lists earlier steps that must be done before this one starts.
		After      []int `json:"After,omitempty"`
		Checkpoint bool  `json:"Checkpoint,omitempty"`
		// Gang means that the tasks only work together: all start in one attempt, and they end together.
		Gang bool `json:"Gang,omitempty"`
		// SameRack means that the tasks run slower when they are spread over racks.
		SameRack bool `json:"SameRack,omitempty"`
		// Label is one that a runner must have; empty means any runner.
		Label Label `json:"Label,omitempty"`
		// Rack is where the tasks run fastest; empty means anywhere.
		Rack Label `json:"Rack,omitempty"`
		// PerRunner limits the tasks of the step on one runner; 0 means no limit.
		PerRunner int `json:"PerRunner,omitempty"`
		// Speculative means that copies of a task may run in parallel.
		Speculative bool `json:"Speculative,omitempty"`
		// Service means that the tasks run until the job is cancelled.
		Service bool `json:"Service,omitempty"`
		// Image names what the tasks run; tasks of one image behave alike.
		Image string `json:"Image,omitempty"`
		// TailLatency is what a service task's own users expect; zero means that it has none.
		TailLatency time.Duration `json:"TailLatency,omitempty"`
		// Fills means that the tasks take only what others leave unused; their cores are not counted.
		Fills bool `json:"Fills,omitempty"`
		// MayMiss is how many of a service's tasks may be away because of the scheduler's own actions.
		MayMiss int `json:"MayMiss,omitempty"`
	}

	// Schedule repeats a job's steps.
	Schedule struct {
		Count    int           `json:"Count"`
		First    time.Time     `json:"First"`
		Interval time.Duration `json:"Interval"`
	}

	// AdvicePolicy says that only runners which the advice service names may run a queue's steps.
	AdvicePolicy struct {
		// Decision and PerRunner are how long the service works on one call, and on each runner named in it.
		Decision  time.Duration `json:"Decision"`
		PerRunner time.Duration `json:"PerRunner"`
		// Validity is how long a ticket may be used.
		Validity time.Duration `json:"Validity"`
	}

	// AdviceBudget is how much more work the advice service may be given now, with short calls and with long ones.
	AdviceBudget struct {
		Short time.Duration
		Long  time.Duration
	}

	// Queue is the policy under which jobs run.
	Queue struct {
		Name    QueueName         `json:"Name"`
		Service types.ServiceName `json:"Service"`
		// Priority ranks queues; 0 comes first.
		Priority    int `json:"Priority"`
		MaxAttempts int `json:"MaxAttempts"`
		// Stretch times the longest chain of work, plus Latency, is when a job should be done.
		Stretch float64       `json:"Stretch"`
		Latency time.Duration `json:"Latency"`
		Advice  *AdvicePolicy `json:"Advice,omitempty"`
	}

	// Job is a caller's job with the policy under which it was accepted.
	Job struct {
		ID       JobID     `json:"ID"`
		Queue    Queue     `json:"Queue"`
		Payload  string    `json:"Payload"`
		Steps    []Step    `json:"Steps"`
		Schedule *Schedule `json:"Schedule,omitempty"`
		Accepted time.Time `json:"Accepted"`
	}

	// StepRef names one step of one occurrence of a job.
	StepRef struct {
		Job        JobID
		Occurrence int
		Step       int
	}

	// Ref names one task.
	Ref struct {
		StepRef
		Index int
	}
)

// String returns the written form, JOB.OCCURRENCE.STEP.
func (r StepRef) String() string {
	return string(r.Job) + "." + strconv.Itoa(r.Occurrence) + "." + strconv.Itoa(r.Step)
}

// String returns the written form, JOB.OCCURRENCE.STEP.INDEX.
func (r Ref) String() string {
	return r.StepRef.String() + "." + strconv.Itoa(r.Index)
}

// MarshalText encodes the written form.
func (r Ref) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText reads the written form.
func (r *Ref) UnmarshalText(text []byte) error {
	parsed, err := ParseRef(string(text))
	if err != nil {
		return err
	}
	*r = parsed
	return nil
}

// ParseRef reads the written form of a task's name.
func ParseRef(text string) (Ref, error) {
	parts := strings.Split(text, ".")
	if len(parts) != refParts || parts[0] == "" {
		return Ref{}, errs.New(errs.Invalid, "task %q is not of the form job.occurrence.step.index", text)
	}
	var numbers [stepParts]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return Ref{}, errs.New(errs.Invalid, "task %q has a wrong number", text)
		}
		numbers[i] = n
	}
	step := StepRef{Job: JobID(parts[0]), Occurrence: numbers[0], Step: numbers[1]}
	return Ref{StepRef: step, Index: numbers[2]}, nil
}

// CallDuration returns how long the advice service works on a call that names a number of runners.
func (a AdvicePolicy) CallDuration(runners int) time.Duration {
	return a.Decision + time.Duration(runners)*a.PerRunner
}

// IsLong tells whether a call for advice with that much work is a long one.
func IsLong(work time.Duration) bool {
	return work > longCallWork
}

// Spend takes the work of a call from the room; false means that there is none.
func (b *AdviceBudget) Spend(work time.Duration) bool {
	if !b.Allows(work) {
		return false
	}
	*b.budgetFor(work) -= work
	return true
}

// Allows tells whether work may be given out.
func (b *AdviceBudget) Allows(work time.Duration) bool {
	return *b.budgetFor(work) > 0
}

func (b *AdviceBudget) budgetFor(work time.Duration) *time.Duration {
	if IsLong(work) {
		return &b.Long
	}
	return &b.Short
}

// Occurrences returns how often the job's steps run.
func (j *Job) Occurrences() int {
	if j.Schedule == nil {
		return 1
	}
	return j.Schedule.Count
}

// Due returns when an occurrence may start.
func (j *Job) Due(occurrence int) time.Time {
	if j.Schedule == nil {
		return j.Accepted
	}
	return j.Schedule.First.Add(time.Duration(occurrence) * j.Schedule.Interval)
}

// Check returns an error of kind Invalid that names the first wrong field.
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
	if j.Schedule != nil && (j.Schedule.Count < 1 || j.Schedule.Interval < 0) {
		return errs.New(errs.Invalid, "Schedule needs a Count above 0 and no negative Interval")
	}
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
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
	if s.Estimate < 0 || s.PerRunner < 0 || s.MayMiss < 0 {
		return errs.New(errs.Invalid, "Steps[%d] has a negative amount", index)
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return errs.New(errs.Invalid, "Steps[%d].After %d must name an earlier step", index, a)
		}
	}
	return nil
}
