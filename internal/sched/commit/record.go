// Package commit keeps the journal of a data centre in the store: the accepted jobs, the intended attempts,
// their results, and the handovers of jobs to other data centres.
package commit

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

type (
	// Record is one entry of the journal. Exactly one field is set.
	Record struct {
		Accept *Accept `json:"Accept,omitempty"`
		Cancel *Cancel `json:"Cancel,omitempty"`
		Intent *Intent `json:"Intent,omitempty"`
		End    *End    `json:"End,omitempty"`
		Offer  *Offer  `json:"Offer,omitempty"`
		Keep   *Keep   `json:"Keep,omitempty"`
		Moved  *Moved  `json:"Moved,omitempty"`
	}

	// Accept records that a job was accepted. For a known job of a service that has fewer tasks it adds tasks.
	Accept struct {
		Job types.Job `json:"Job"`
		// Tasks is the number of tasks, ended ones included; zero means as many as the job's count.
		Tasks int `json:"Tasks,omitempty"`
		// Hop is the number of handovers of the job before this acceptance.
		Hop int `json:"Hop,omitempty"`
	}

	// Cancel cancels a job and its waiting tasks; the attempts of its other tasks still have to be stopped.
	Cancel struct {
		Job types.JobID `json:"Job"`
	}

	// Intent allows one attempt to be started on one worker.
	Intent struct {
		Task   types.TaskID `json:"Task"`
		Number int          `json:"Number"`
		Worker types.VMID   `json:"Worker"`
		// Boot is the worker's boot number that the leader knew. While the worker has the same boot, an attempt
		// that it does not know has never run.
		Boot   uint64 `json:"Boot"`
		Resume bool   `json:"Resume,omitempty"`
	}

	// End records the result of an attempt and the next state of its task.
	End struct {
		Task   types.TaskID    `json:"Task"`
		Number int             `json:"Number"`
		State  table.TaskState `json:"State"`
		Reason string          `json:"Reason,omitempty"`
		Resume bool            `json:"Resume,omitempty"`
		// Failed is set if the attempt counts as a failure of the task.
		Failed bool `json:"Failed,omitempty"`
	}

	// Offer suspends a job in this data centre while it is handed over to another one.
	Offer struct {
		Job types.JobID      `json:"Job"`
		To  types.DataCentre `json:"To"`
		Hop int              `json:"Hop"`
	}

	// Keep withdraws an offer: the job stays in this data centre.
	Keep struct {
		Job types.JobID `json:"Job"`
		Hop int         `json:"Hop"`
	}

	// Moved completes an offer that was accepted: the job belongs to the other data centre.
	Moved struct {
		Job types.JobID      `json:"Job"`
		To  types.DataCentre `json:"To"`
		Hop int              `json:"Hop"`
	}

	// Part is one part of a snapshot, which may span several segments.
	Part struct {
		Index int `json:"Index"`
		// Total is the number of parts.
		Total int    `json:"Total"`
		Data  []byte `json:"Data"`
	}

	// Segment is one write to the journal. It has neither records nor a part when it only seals the journal
	// against earlier writers.
	Segment struct {
		Sequence uint64      `json:"Sequence"`
		Epoch    types.Epoch `json:"Epoch"`
		Writer   types.VMID  `json:"Writer"`
		Nonce    store.Nonce `json:"Nonce"`
		At       time.Time   `json:"At"`
		Records  []Record    `json:"Records,omitempty"`
		Part     *Part       `json:"Part,omitempty"`
	}
)
