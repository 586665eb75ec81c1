// Package plan decides which tasks start, stop or move. Planners read the tables and the time, and
// do no input or output.
package plan

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

type (
	// Action is one decision. It is sealed: the types of this package that end in Action are its only members.
	Action interface {
		action()
	}

	// StartAction starts a waiting task on a worker.
	StartAction struct {
		Task   types.TaskID
		Worker types.VMID
		Reason string
	}

	// PreemptAction stops a running task to make room for another one.
	PreemptAction struct {
		Task       types.TaskID
		Checkpoint bool
		For        types.TaskID
		Reason     string
	}

	// ThrottleAction limits a running task to thousandths of its declared cores.
	ThrottleAction struct {
		Task     types.TaskID
		Permille int
		Reason   string
	}

	// QuarantineAction takes a worker out of placement.
	QuarantineAction struct {
		Worker types.VMID
		Reason string
	}

	// ProbeAction lets a quarantined worker run one task on trial.
	ProbeAction struct {
		Worker types.VMID
		Reason string
	}

	// ReleaseAction puts a worker back into placement.
	ReleaseAction struct {
		Worker types.VMID
		Reason string
	}

	// HandOverAction offers a job that does not fit here to another data centre.
	HandOverAction struct {
		Job    types.JobID
		To     types.DataCentre
		Reason string
	}

	// GiveUpAction ends a task that can no longer run.
	GiveUpAction struct {
		Task   types.TaskID
		Reason string
	}

	// ReserveAction keeps workers free of less urgent starts for an all-at-once job. Apply does all of it.
	ReserveAction struct {
		Job     types.JobID
		Workers map[types.VMID]int
		Until   time.Time
		Reason  string
	}

	// UnreserveAction drops a reservation. Apply does all of it.
	UnreserveAction struct {
		Job    types.JobID
		Reason string
	}

	// WaitAction tells why tasks of a job wait, when the reason has changed. Apply does all of it.
	WaitAction struct {
		Job    types.JobID
		Reason string
	}

	// Planner decides on the next actions. Every action is valid against the tables with the
	// earlier actions of the same answer applied.
	Planner interface {
		Plan(s *table.State, now time.Time) []Action
	}
)

func (StartAction) action()      {}
func (PreemptAction) action()    {}
func (ThrottleAction) action()   {}
func (QuarantineAction) action() {}
func (ProbeAction) action()      {}
func (ReleaseAction) action()    {}
func (HandOverAction) action()   {}
func (GiveUpAction) action()     {}
func (ReserveAction) action()    {}
func (UnreserveAction) action()  {}
func (WaitAction) action()       {}
