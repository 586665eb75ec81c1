// Package commit keeps the journal of a data centre in the store: what was accepted, intended and ended.
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

	// Accept takes a job in. For a known job of a service that has fewer tasks it adds tasks.
	Accept struct {
		Job types.Job `json:"Job"`
		// Tasks is the number of tasks, ended ones included; zero means as many as the job's count.
		Tasks int `json:"Tasks,omitempty"`
		// Hop counts how often the job was handed over before.
		Hop int `json:"Hop,omitempty"`
	}

	// Cancel cancels a job: waiting tasks are cancelled with it, attempts are to be stopped.
	Cancel struct {
		Job types.JobID `json:"Job"`
	}

	// Intent allows one attempt to be started on one worker.
	Intent struct {
		Task   types.TaskID `json:"Task"`
		Number int          `json:"Number"`
		Worker types.VMID   `json:"Worker"`
		// Boot is the worker's boot that the lead knew; while it is unchanged, an attempt that the worker
		// does not know never ran.
		Boot   uint64 `json:"Boot"`
		Resume bool   `json:"Resume,omitempty"`
	}

	// End ends an attempt and gives the task its next state.
	End struct {
		Task   types.TaskID    `json:"Task"`
		Number int             `json:"Number"`
		State  table.TaskState `json:"State"`
		Reason string          `json:"Reason,omitempty"`
		Resume bool            `json:"Resume,omitempty"`
		// Failed tells that the attempt counts as a failure of the task.
		Failed bool `json:"Failed,omitempty"`
	}

	// Offer freezes a job here while it is handed over to another data centre.
	Offer struct {
		Job types.JobID      `json:"Job"`
		To  types.DataCentre `json:"To"`
		Hop int              `json:"Hop"`
	}

	// Keep ends an offer that was withdrawn: the job stays here.
	Keep struct {
		Job types.JobID `json:"Job"`
		Hop int         `json:"Hop"`
	}

	// Moved ends an offer that was taken: the job belongs to the other data centre.
	Moved struct {
		Job types.JobID      `json:"Job"`
		To  types.DataCentre `json:"To"`
		Hop int              `json:"Hop"`
	}

	// Part is one piece of a snapshot, which may span several segments.
	Part struct {
		Index int `json:"Index"`
		// Total is the number of pieces.
		Total int    `json:"Total"`
		Data  []byte `json:"Data"`
	}

	// Segment is one write to the journal.
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
