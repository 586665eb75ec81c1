// Package envdoc holds the environment document: the services, batch work and all-at-once jobs of one
// environment, with their teams and policies.
package envdoc

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

type (
	// Name names an environment, as in trial or production.
	Name string

	// Document is one environment's document. Durations are written with a unit, as in 30s.
	Document struct {
		Environment Name            `json:"Environment" yaml:"Environment"`
		Teams       []Team          `json:"Teams" yaml:"Teams"`
		Services    []ServiceEntry  `json:"Services,omitempty" yaml:"Services"`
		Batch       []WorkEntry     `json:"Batch,omitempty" yaml:"Batch"`
		Gangs       []WorkEntry     `json:"Gangs,omitempty" yaml:"Gangs"`
		Placement   PlacementPolicy `json:"Placement" yaml:"Placement"`
		Requests    RequestPolicy   `json:"Requests" yaml:"Requests"`
		Link        LinkPolicy      `json:"Link" yaml:"Link"`
	}

	// Team is a team with its share of the cell.
	Team struct {
		Name types.TeamID `json:"Name" yaml:"Name"`
		// Quota is the most that the team's running tasks may declare in one data centre.
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

	// SiteCount is how many tasks of a service one data centre runs, and the floor during a roll-out.
	SiteCount struct {
		DataCentre types.DataCentre `json:"DataCentre" yaml:"DataCentre"`
		Count      int              `json:"Count" yaml:"Count"`
		Floor      int              `json:"Floor" yaml:"Floor"`
	}

	// WorkEntry is a kind of batch work or all-at-once job that callers submit by name.
	WorkEntry struct {
		Name  string         `json:"Name" yaml:"Name"`
		Team  types.TeamID   `json:"Team" yaml:"Team"`
		Class types.Class    `json:"Class" yaml:"Class"`
		Count int            `json:"Count" yaml:"Count"`
		Task  types.TaskSpec `json:"Task" yaml:"Task"`
		// Within is how long after its acceptance the job must be finished.
		Within time.Duration `json:"Within" yaml:"Within"`
	}

	// PlacementPolicy steers the placement of tasks.
	PlacementPolicy struct {
		// UrgentHeadroom is the part of each data centre, in thousandths, that only urgent work may take.
		UrgentHeadroom int `json:"UrgentHeadroom" yaml:"UrgentHeadroom"`
		// TaskLease is how long a task runs without a renewal.
		TaskLease time.Duration `json:"TaskLease" yaml:"TaskLease"`
		// GangTimeout is how long a partial reservation of an all-at-once job is held.
		GangTimeout time.Duration `json:"GangTimeout" yaml:"GangTimeout"`
		// MaxAttempts is how often an idempotent task is tried.
		MaxAttempts int `json:"MaxAttempts" yaml:"MaxAttempts"`
		// MaxQuarantined is the part of the workers, in thousandths, that may be in quarantine.
		MaxQuarantined int `json:"MaxQuarantined" yaml:"MaxQuarantined"`
	}

	// RequestPolicy steers the routing of requests.
	RequestPolicy struct {
		// Queue is how many requests of each class one entry holds.
		Queue int `json:"Queue" yaml:"Queue"`
		// RetryBudget is the number of retries allowed for each thousand requests.
		RetryBudget int `json:"RetryBudget" yaml:"RetryBudget"`
		// KeepAnswers is how long answers of non-idempotent requests are kept.
		KeepAnswers time.Duration `json:"KeepAnswers" yaml:"KeepAnswers"`
		// MaxKeptAnswer is the largest answer that is kept.
		MaxKeptAnswer types.Bytes `json:"MaxKeptAnswer" yaml:"MaxKeptAnswer"`
		// DefaultDeadline applies to requests that state none.
		DefaultDeadline time.Duration `json:"DefaultDeadline" yaml:"DefaultDeadline"`
	}

	// LinkPolicy limits traffic on the paid link between regions.
	LinkPolicy struct {
		// RequestBytesPerSecond is the most that requests may send over the link from one data centre.
		RequestBytesPerSecond types.Bytes `json:"RequestBytesPerSecond" yaml:"RequestBytesPerSecond"`
	}
)

// Default returns the policies that apply where a document is silent.
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

// Team returns the team with the name.
func (d *Document) Team(name types.TeamID) (Team, bool) {
	for _, t := range d.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// Service returns the service with the name.
func (d *Document) Service(name types.ServiceName) (ServiceEntry, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return ServiceEntry{}, false
}
