// Package plan decides which tasks start, stop or move. Planners read the tables and the current time, and
// perform no input or output.
package plan

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

type (
	// Action is one decision of a planner. The interface is sealed: only the types of this package whose names
	// end in Action implement it.
	Action interface {
		action()
	}

	// StartAction starts a waiting task on a worker.
	StartAction struct {
		Task   types.TaskID
		Worker types.VMID
		Reason string
	}

	// PreemptAction stops a running task, with a checkpoint if Checkpoint is set. For names the task that
	// gets the freed capacity; it is empty when a worker is drained.
	PreemptAction struct {
		Task       types.TaskID
		Checkpoint bool
		For        types.TaskID
		Reason     string
	}

	// ThrottleAction limits a running task to Permille thousandths of its declared cores.
	ThrottleAction struct {
		Task     types.TaskID
		Permille int
		Reason   string
	}

	// QuarantineAction excludes a worker from placement.
	QuarantineAction struct {
		Worker types.VMID
		Reason string
	}

	// ProbeAction lets a quarantined worker run one probe task.
	ProbeAction struct {
		Worker types.VMID
		Reason string
	}

	// ReleaseAction ends a worker's quarantine and returns it to placement.
	ReleaseAction struct {
		Worker types.VMID
		Reason string
	}

	// HandOverAction offers a job that does not fit in this data centre to another one.
	HandOverAction struct {
		Job    types.JobID
		To     types.DataCentre
		Reason string
	}

	// GiveUpAction ends a waiting task that is not to run any more.
	GiveUpAction struct {
		Task   types.TaskID
		Reason string
	}

	// ReserveAction reserves workers for a job until a time: other tasks that are not urgent do not start
	// there. Workers holds how many of the job's tasks each worker is meant for. Apply carries it out completely.
	ReserveAction struct {
		Job     types.JobID
		Workers map[types.VMID]int
		Until   time.Time
		Reason  string
	}

	// UnreserveAction removes a job's reservation. Apply carries it out completely.
	UnreserveAction struct {
		Job    types.JobID
		Reason string
	}

	// WaitAction reports a changed reason why tasks of a job wait. Apply carries it out completely.
	WaitAction struct {
		Job    types.JobID
		Reason string
	}

	// Planner decides on the next actions. Every action is valid against the tables as they are after the
	// earlier actions of the same list.
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
