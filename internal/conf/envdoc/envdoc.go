// Package envdoc defines the environment document: the services, batch work and all-at-once (gang) jobs of one
// environment, with their teams and policies. It parses, checks and compares documents.
package envdoc

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// MaxBody is the largest size of a document, in bytes. It keeps the record in the store, which holds the body in
// base64, below the store's limit for one value.
const MaxBody = 512 << 10

type (
	// Name is the name of an environment, such as trial or production.
	Name string

	// Document is the document of one environment. In YAML, durations, memory and bytes have a unit, as in 30s or
	// 64KiB; cores may have one.
	Document struct {
		// Environment, when set, prevents the document from being put into any other environment.
		Environment Name              `json:"Environment,omitempty" yaml:"Environment"`
		DataCentres []DataCentreEntry `json:"DataCentres" yaml:"DataCentres"`
		Teams       []Team            `json:"Teams" yaml:"Teams"`
		Services    []ServiceEntry    `json:"Services,omitempty" yaml:"Services"`
		Batch       []WorkEntry       `json:"Batch,omitempty" yaml:"Batch"`
		Gangs       []WorkEntry       `json:"Gangs,omitempty" yaml:"Gangs"`
		Classes     []ClassPolicy     `json:"Classes,omitempty" yaml:"Classes"`
		Placement   PlacementPolicy   `json:"Placement" yaml:"Placement"`
		Requests    RequestPolicy     `json:"Requests" yaml:"Requests"`
		Link        LinkPolicy        `json:"Link" yaml:"Link"`
	}

	// DataCentreEntry is a data centre that the environment uses, with the workers that it is expected to have. The
	// check rejects demands that these workers could never meet.
	DataCentreEntry struct {
		Name    types.DataCentre `json:"Name" yaml:"Name"`
		Region  types.Region     `json:"Region" yaml:"Region"`
		Workers []WorkerGroup    `json:"Workers" yaml:"Workers"`
	}

	// WorkerGroup is a number of workers with the same capacity.
	WorkerGroup struct {
		Count    int             `json:"Count" yaml:"Count"`
		Capacity types.Resources `json:"Capacity" yaml:"Capacity"`
	}

	// Team is a team with its quota and the classes that it may use.
	Team struct {
		Name types.TeamID `json:"Name" yaml:"Name"`
		// Quota limits the sum of the resources that the team's running tasks declare in one data centre.
		Quota types.Resources `json:"Quota" yaml:"Quota"`
		// MaxClass is the most urgent class that the team may use.
		MaxClass types.Class `json:"MaxClass" yaml:"MaxClass"`
	}

	// ServiceEntry is a service that each named data centre keeps running.
	ServiceEntry struct {
		Name        types.ServiceName `json:"Name" yaml:"Name"`
		Team        types.TeamID      `json:"Team" yaml:"Team"`
		Class       types.Class       `json:"Class" yaml:"Class"`
		Slots       int               `json:"Slots" yaml:"Slots"`
		Connections int               `json:"Connections" yaml:"Connections"`
		Sites       []SiteCount       `json:"Sites" yaml:"Sites"`
		Task        types.TaskSpec    `json:"Task" yaml:"Task"`
	}

	// SiteCount is how many tasks of a service one data centre runs, and how many of them must keep running during a
	// roll-out (the floor).
	SiteCount struct {
		DataCentre types.DataCentre `json:"DataCentre" yaml:"DataCentre"`
		Count      int              `json:"Count" yaml:"Count"`
		Floor      int              `json:"Floor" yaml:"Floor"`
	}

	// WorkEntry is a template of a batch or all-at-once job that callers submit by name.
	WorkEntry struct {
		Name  string         `json:"Name" yaml:"Name"`
		Team  types.TeamID   `json:"Team" yaml:"Team"`
		Class types.Class    `json:"Class" yaml:"Class"`
		Count int            `json:"Count" yaml:"Count"`
		Task  types.TaskSpec `json:"Task" yaml:"Task"`
		// Within is the time from acceptance to the job's deadline; 0 means no deadline.
		Within time.Duration `json:"Within" yaml:"Within"`
	}

	// ClassPolicy states what one class of urgency may expect: how soon its work should start, and how many of its
	// requests are queued and with which deadline. A zero field takes its default.
	ClassPolicy struct {
		Class types.Class `json:"Class" yaml:"Class"`
		// StartWithin is how long work of the class may wait for its start before the wait is reported.
		StartWithin time.Duration `json:"StartWithin,omitempty" yaml:"StartWithin"`
		// Queue is the number of requests of the class that one entry VM may queue.
		Queue int `json:"Queue,omitempty" yaml:"Queue"`
		// Deadline applies to requests of the class that state no deadline.
		Deadline time.Duration `json:"Deadline,omitempty" yaml:"Deadline"`
	}

	// PlacementPolicy controls the placement of tasks.
	PlacementPolicy struct {
		// UrgentHeadroom is the share of each data centre's capacity, in thousandths, that only urgent work may use.
		UrgentHeadroom int `json:"UrgentHeadroom" yaml:"UrgentHeadroom"`
		// TaskLease is how long a task may run without a renewal of its lease.
		TaskLease time.Duration `json:"TaskLease" yaml:"TaskLease"`
		// GangTimeout is how long a partial reservation for an all-at-once job is held.
		GangTimeout time.Duration `json:"GangTimeout" yaml:"GangTimeout"`
		// MaxAttempts is the maximum number of attempts of an idempotent task.
		MaxAttempts int `json:"MaxAttempts" yaml:"MaxAttempts"`
		// MaxQuarantined is the maximum share of the workers, in thousandths, that may be in quarantine.
		MaxQuarantined int `json:"MaxQuarantined" yaml:"MaxQuarantined"`
	}

	// RequestPolicy controls the routing of requests.
	RequestPolicy struct {
		// Queue is the number of requests of each class that one entry VM may queue.
		Queue int `json:"Queue" yaml:"Queue"`
		// RetryBudget is the number of retries allowed per thousand requests.
		RetryBudget int `json:"RetryBudget" yaml:"RetryBudget"`
		// KeepAnswers is the retention of answers to non-idempotent requests.
		KeepAnswers time.Duration `json:"KeepAnswers" yaml:"KeepAnswers"`
		// MaxKeptAnswer is the largest size of an answer that is retained.
		MaxKeptAnswer types.Bytes `json:"MaxKeptAnswer" yaml:"MaxKeptAnswer"`
		// DefaultDeadline applies to requests that state no deadline.
		DefaultDeadline time.Duration `json:"DefaultDeadline" yaml:"DefaultDeadline"`
	}

	// LinkPolicy limits traffic on the paid link between regions.
	LinkPolicy struct {
		// RequestBytesPerSecond limits the bytes per second that requests send over the link from one data centre.
		RequestBytesPerSecond types.Bytes `json:"RequestBytesPerSecond" yaml:"RequestBytesPerSecond"`
	}
)

// Default returns a document with the policies that apply where a document states none.
func Default() Document {
	return Document{
		Placement: PlacementPolicy{
			UrgentHeadroom: 50,
			TaskLease:      30 * time.Second,
			GangTimeout:    time.Minute,
			MaxAttempts:    5,
			MaxQuarantined: 100,
		},
		Requests: RequestPolicy{
			Queue:           1000,
			RetryBudget:     100,
			KeepAnswers:     time.Hour,
			MaxKeptAnswer:   64 << 10,
			DefaultDeadline: 10 * time.Second,
		},
		Link: LinkPolicy{RequestBytesPerSecond: 128 << 10},
	}
}

// Team returns the team with the name, or false when the document has none.
func (d *Document) Team(name types.TeamID) (Team, bool) {
	for _, t := range d.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// Service returns the service with the name, or false when the document has none.
func (d *Document) Service(name types.ServiceName) (ServiceEntry, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return ServiceEntry{}, false
}

// DataCentre returns the data centre with the name, or false when the document has none.
func (d *Document) DataCentre(name types.DataCentre) (DataCentreEntry, bool) {
	for _, c := range d.DataCentres {
		if c.Name == name {
			return c, true
		}
	}
	return DataCentreEntry{}, false
}

// Policy returns the policy of a class, with defaults where the document states none.
func (d *Document) Policy(class types.Class) ClassPolicy {
	out := ClassPolicy{Class: class}
	for _, p := range d.Classes {
		if p.Class == class {
			out = p
		}
	}
	if out.StartWithin == 0 {
		out.StartWithin = defaultStartWithin(class)
	}
	if out.Queue == 0 {
		out.Queue = d.Requests.Queue
	}
	if out.Deadline == 0 {
		out.Deadline = d.Requests.DefaultDeadline
	}
	return out
}

func defaultStartWithin(class types.Class) time.Duration {
	switch class {
	case types.ClassUrgent:
		return 6 * time.Second
	case types.ClassNormal:
		return time.Minute
	default:
		return 8 * time.Hour
	}
}

// Total returns the total capacity of the data centre's workers.
func (c DataCentreEntry) Total() types.Resources {
	var sum types.Resources
	for _, g := range c.Workers {
		sum = sum.Add(g.Capacity.Times(g.Count))
	}
	return sum
}

// Room returns how many tasks with the given resources fit on the data centre's workers when nothing else runs there.
func (c DataCentreEntry) Room(task types.Resources) int {
	sum := 0
	for _, g := range c.Workers {
		sum += g.Count * tasksPerWorker(task, g.Capacity)
	}
	return sum
}

// tasksPerWorker returns how many tasks fit on one empty worker, at most types.MaxTasks.
func tasksPerWorker(task, capacity types.Resources) int {
	if task.IsZero() {
		return 0
	}
	return task.CountIn(capacity, types.MaxTasks)
}
