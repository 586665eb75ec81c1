// Package audit records each change and each important decision with its cause and inputs. Log keeps the records of a
// VM and answers queries over the records of all VMs.
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
	// Verb is the kind of change or decision.
	Verb string

	// Input is one named fact on which a decision was based.
	Input struct {
		Name  string `json:"Name"`
		Value string `json:"Value"`
	}

	// Record is one change or decision. Subject is the id of a job, task, attempt, request, worker, data centre or
	// environment.
	Record struct {
		At time.Time `json:"At"`
		// Seq numbers the records of one run of a VM's process, starting at 1.
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

	// Recorder accepts records. Record neither blocks nor fails. The recorder fills in At, Seq, VM and Site.
	Recorder interface {
		Record(r Record)
	}

	// Discard is a Recorder that discards all records.
	Discard struct{}
)

// Concerns reports whether the record is about the subject. It is if the record's subject is the given one, a part of
// it, as a task is of a job, or a whole of which it is a part, or if an input is the given subject or a part of it.
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

// isPartOf reports whether part is the id of a task or attempt of the job or task whose id is whole.
func isPartOf(part, whole string) bool {
	tail, ok := strings.CutPrefix(part, whole)
	return ok && whole != "" && tail != "" && (tail[0] == '/' || tail[0] == '#')
}

// Record discards the record.
func (Discard) Record(Record) {}
