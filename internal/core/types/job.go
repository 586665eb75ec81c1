package types

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

// Classes of urgency, from the most to the least urgent.
const (
	ClassUrgent Class = "Urgent"
	ClassNormal Class = "Normal"
	ClassBatch  Class = "Batch"
)

// States of a job.
const (
	JobQueued    JobState = "Queued"
	JobRunning   JobState = "Running"
	JobDone      JobState = "Done"
	JobFailed    JobState = "Failed"
	JobCancelled JobState = "Cancelled"
	JobMoved     JobState = "Moved"
	JobUnknown   JobState = "Unknown"
)

// Limits of a job. MaxPayload is in bytes.
const (
	MaxTasks       = 10_000
	MaxPayload     = 64 << 10
	MaxRunTime     = 30 * 24 * time.Hour
	maxDataCentres = 64
)

type (
	// Class is the urgency of work.
	Class string
	// JobState is the state of a job in its life cycle.
	JobState string

	// Workload is the part of a job that differs between services, batch jobs and gang jobs.
	// It is sealed: Service, Batch and Gang are its only implementations.
	Workload interface {
		workload()
		// Tasks returns how many tasks the job has.
		Tasks() int
		// Check returns an error of kind Invalid that names the invalid field.
		Check() error
	}

	// Service is a job that keeps Count tasks running, which answer requests.
	Service struct {
		Name  ServiceName `json:"Name" yaml:"Name"`
		Count int         `json:"Count" yaml:"Count"`
		// Floor is the minimum number of tasks that stay running during a roll-out.
		Floor int `json:"Floor,omitempty" yaml:"Floor"`
		// Slots is the number of requests that one runner processes at a time.
		Slots int `json:"Slots" yaml:"Slots"`
		// Connections is the number of connections that one runner accepts.
		Connections int `json:"Connections" yaml:"Connections"`
	}

	// Batch is a job that runs each of its tasks to the end, exactly once, before the deadline.
	Batch struct {
		Count    int       `json:"Count" yaml:"Count"`
		Deadline time.Time `json:"Deadline,omitzero" yaml:"Deadline"`
	}

	// Gang is a job that starts all of its tasks at once or none of them.
	Gang struct {
		Count    int       `json:"Count" yaml:"Count"`
		Deadline time.Time `json:"Deadline,omitzero" yaml:"Deadline"`
	}

	// TaskSpec describes each task of a job.
	TaskSpec struct {
		Resources Resources `json:"Resources" yaml:"Resources"`
		// RunTime is the declared run time; it is zero for services.
		RunTime time.Duration `json:"RunTime,omitempty" yaml:"RunTime"`
		// CanCheckpoint is true if a task can be stopped at a checkpoint and continued later.
		CanCheckpoint bool `json:"CanCheckpoint,omitempty" yaml:"CanCheckpoint"`
		// Idempotent is true if the task may run twice without harm.
		Idempotent bool `json:"Idempotent,omitempty" yaml:"Idempotent"`
		// Booking is true if the task must never run in two places at once.
		Booking bool `json:"Booking,omitempty" yaml:"Booking"`
		// DataCentres lists the data centres in which the task may run; empty means all.
		DataCentres []DataCentre `json:"DataCentres,omitempty" yaml:"DataCentres"`
		// Payload is passed to the task unchanged.
		Payload string `json:"Payload,omitempty" yaml:"Payload"`
	}

	// Job is a unit of submitted work. Exactly one of Service, Batch and Gang is set.
	Job struct {
		ID   JobID  `json:"ID"`
		Name string `json:"Name"`
		Team TeamID `json:"Team"`
		// Class is the urgency of the job; the environment document may limit it by team.
		Class    Class    `json:"Class"`
		Task     TaskSpec `json:"Task"`
		Service  *Service `json:"Service,omitempty"`
		Batch    *Batch   `json:"Batch,omitempty"`
		Gang     *Gang    `json:"Gang,omitempty"`
		Revision Revision `json:"Revision,omitempty"`
	}

	// JobStatus is a caller's view of a job. Running, Done, Failed and Unknown count tasks.
	JobStatus struct {
		ID        JobID    `json:"ID"`
		State     JobState `json:"State"`
		Reason    string   `json:"Reason,omitempty"`
		Tasks     int      `json:"Tasks"`
		Running   int      `json:"Running"`
		Done      int      `json:"Done"`
		Failed    int      `json:"Failed"`
		Unknown   int      `json:"Unknown"`
		Home      string   `json:"Home"`
		Cancelled bool     `json:"Cancelled,omitempty"`
	}
)

func (Service) workload() {}
func (Batch) workload()   {}
func (Gang) workload()    {}

// Tasks returns the number of tasks that the service keeps running.
func (s Service) Tasks() int { return s.Count }

// Tasks returns the number of tasks that run to the end.
func (b Batch) Tasks() int { return b.Count }

// Tasks returns the number of tasks that start together.
func (g Gang) Tasks() int { return g.Count }

// Check returns an error if a field of the service is invalid.
func (s Service) Check() error {
	if err := CheckName("Service.Name", string(s.Name)); err != nil {
		return err
	}
	if s.Floor < 0 || s.Floor > s.Count {
		return errs.New(errs.Invalid, "Service.Floor %d must be within 0 and Count %d", s.Floor, s.Count)
	}
	if s.Slots < 1 || s.Connections < s.Slots {
		return errs.New(errs.Invalid, "Service.Slots must be at least 1 and Connections at least Slots")
	}
	return checkCount("Service.Count", s.Count)
}

// Check returns an error if Count is out of range.
func (b Batch) Check() error { return checkCount("Batch.Count", b.Count) }

// Check returns an error if Count is out of range.
func (g Gang) Check() error { return checkCount("Gang.Count", g.Count) }

func checkCount(field string, count int) error {
	if count < 1 || count > MaxTasks {
		return errs.New(errs.Invalid, "%s %d must be within 1 and %d", field, count, MaxTasks)
	}
	return nil
}

// Check returns an error if a field of the task is invalid.
func (t TaskSpec) Check() error {
	if err := t.Resources.Check(); err != nil {
		return err
	}
	if t.Resources.Cores < 1 || t.Resources.Memory < 1 {
		return errs.New(errs.Invalid, "Task.Resources needs at least 1m core and 1 MiB, has %s", t.Resources)
	}
	if t.RunTime < 0 || t.RunTime > MaxRunTime {
		return errs.New(errs.Invalid, "Task.RunTime %s must be within 0 and %s", t.RunTime, MaxRunTime)
	}
	if len(t.Payload) > MaxPayload {
		return errs.New(errs.TooLarge, "Task.Payload is over %d bytes", MaxPayload)
	}
	if len(t.DataCentres) > maxDataCentres {
		return errs.New(errs.Invalid, "Task.DataCentres has over %d entries", maxDataCentres)
	}
	return nil
}

// Workload returns the one of Service, Batch and Gang that is set, or nil if none is.
func (j *Job) Workload() Workload {
	switch {
	case j.Service != nil:
		return *j.Service
	case j.Batch != nil:
		return *j.Batch
	case j.Gang != nil:
		return *j.Gang
	default:
		return nil
	}
}

// Check returns an error if a field of the job is missing or invalid.
func (j *Job) Check() error {
	if _, err := ParseID(string(j.ID)); err != nil {
		return err
	}
	if err := CheckName("Name", j.Name); err != nil {
		return err
	}
	if err := CheckName("Team", string(j.Team)); err != nil {
		return err
	}
	if err := j.Class.Check(); err != nil {
		return err
	}
	if countTrue(j.Service != nil, j.Batch != nil, j.Gang != nil) != 1 {
		return errs.New(errs.Invalid, "exactly one of Service, Batch and Gang must be set")
	}
	if err := j.Workload().Check(); err != nil {
		return err
	}
	return j.Task.Check()
}

// countTrue returns how many of the flags are true.
func countTrue(flags ...bool) int {
	n := 0
	for _, f := range flags {
		if f {
			n++
		}
	}
	return n
}

// Classes returns all classes, the most urgent first.
func Classes() []Class {
	return []Class{ClassUrgent, ClassNormal, ClassBatch}
}

// Check returns an error if the class is not a listed one.
func (c Class) Check() error {
	switch c {
	case ClassUrgent, ClassNormal, ClassBatch:
		return nil
	default:
		return errs.New(errs.Invalid, "Class %q must be Urgent, Normal or Batch", c)
	}
}

// Rank returns the position of the class in the order of urgency; 0 is the most urgent.
func (c Class) Rank() int {
	switch c {
	case ClassUrgent:
		return 0
	case ClassNormal:
		return 1
	default:
		return 2
	}
}

// Ended reports whether the state is final. JobMoved is not: the job continues in another data centre.
func (s JobState) Ended() bool {
	switch s {
	case JobDone, JobFailed, JobCancelled, JobUnknown:
		return true
	default:
		return false
	}
}
