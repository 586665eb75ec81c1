// Package audit records each change and each decision of consequence, with its cause and inputs.
package audit

import (
	"strings"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// Verbs of records.
const (
	VerbAccept     Verb = "Accept"
	VerbRefuse     Verb = "Refuse"
	VerbIntend     Verb = "Intend"
	VerbStart      Verb = "Start"
	VerbEnd        Verb = "End"
	VerbStop       Verb = "Stop"
	VerbPreempt    Verb = "Preempt"
	VerbThrottle   Verb = "Throttle"
	VerbWait       Verb = "Wait"
	VerbCancel     Verb = "Cancel"
	VerbHandOver   Verb = "HandOver"
	VerbQuarantine Verb = "Quarantine"
	VerbRelease    Verb = "Release"
	VerbClaim      Verb = "Claim"
	VerbStepDown   Verb = "StepDown"
	VerbPut        Verb = "Put"
	VerbPromote    Verb = "Promote"
	VerbInForce    Verb = "InForce"
	VerbDispatch   Verb = "Dispatch"
	VerbAnswer     Verb = "Answer"
	VerbTransition Verb = "Transition"
)

type (
	// Verb names what was done or decided.
	Verb string

	// Input is one named fact that a decision rested on.
	Input struct {
		Name  string `json:"Name"`
		Value string `json:"Value"`
	}

	// Record is one change or decision. Subject is the id of a job, task, attempt, request, worker,
	// data centre or environment.
	Record struct {
		At time.Time `json:"At"`
		// Seq numbers the records of one run of a VM.
		Seq      uint64           `json:"Seq,omitempty"`
		VM       types.VMID       `json:"VM"`
		Site     types.DataCentre `json:"DataCentre"`
		Actor    string           `json:"Actor"`
		Verb     Verb             `json:"Verb"`
		Subject  string           `json:"Subject"`
		Cause    string           `json:"Cause"`
		Epoch    types.Epoch      `json:"Epoch,omitempty"`
		Revision types.Revision   `json:"Revision,omitempty"`
		Inputs   []Input          `json:"Inputs,omitempty"`
	}

	// Recorder takes records. Record does not block and does not fail; the recorder fills in At, VM and DataCentre.
	Recorder interface {
		Record(r Record)
	}

	// Discard is a recorder that keeps nothing.
	Discard struct{}
)

// Concerns tells whether the record is about the subject: its own id, a part of it, as a task is of a job, the
// whole of which it is a part, or an input of the decision.
func (r Record) Concerns(subject string) bool {
	if r.Subject == subject || isPartOf(r.Subject, subject) || isPartOf(subject, r.Subject) {
		return true
	}
	for _, input := range r.Inputs {
		if input.Value == subject || isPartOf(input.Value, subject) {
			return true
		}
	}
	return false
}

// isPartOf tells whether an id is that of a task or attempt of the whole.
func isPartOf(part, whole string) bool {
	tail, ok := strings.CutPrefix(part, whole)
	return ok && whole != "" && tail != "" && (tail[0] == '/' || tail[0] == '#')
}

// Record drops the record.
func (Discard) Record(Record) {}
