package report

import (
	"fmt"
	"strings"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
)

// verbPhrases holds the phrase for each verb. The subject follows the phrase.
var verbPhrases = map[audit.Verb]string{
	audit.VerbAccept:     "accepted",
	audit.VerbRefuse:     "refused",
	audit.VerbIntend:     "committed the start of",
	audit.VerbStart:      "started",
	audit.VerbEnd:        "ended",
	audit.VerbStop:       "stopped",
	audit.VerbPreempt:    "stopped, to make room,",
	audit.VerbThrottle:   "throttled",
	audit.VerbWait:       "could not yet start",
	audit.VerbCancel:     "cancelled",
	audit.VerbHandOver:   "moved to another data centre",
	audit.VerbQuarantine: "put into quarantine",
	audit.VerbRelease:    "released from quarantine",
	audit.VerbClaim:      "took the lead of",
	audit.VerbStepDown:   "gave up the lead of",
	audit.VerbPut:        "put a new document into",
	audit.VerbPromote:    "promoted a document to",
	audit.VerbInForce:    "put in force the document of",
	audit.VerbDispatch:   "sent to a runner",
	audit.VerbAnswer:     "answered",
}

// currentState describes the state of a subject after its last record.
func currentState(r audit.Record) string {
	cause := causeSuffix(r)
	switch r.Verb {
	case audit.VerbWait:
		return "it waits" + cause
	case audit.VerbRefuse:
		return "it was refused" + cause
	case audit.VerbAccept:
		return "it was accepted and waits for its start" + cause
	case audit.VerbIntend:
		return "its start is committed and not yet confirmed" + cause
	case audit.VerbStart:
		return "it runs" + placeSuffix(r) + cause
	case audit.VerbEnd:
		return "it has ended" + cause
	case audit.VerbStop:
		return "it was stopped" + cause
	case audit.VerbPreempt:
		return "it was stopped to make room and will run again" + cause
	case audit.VerbCancel:
		return "it was cancelled" + cause
	case audit.VerbHandOver:
		return "it was moved to another data centre" + cause
	case audit.VerbQuarantine:
		return "it is in quarantine and gets no tasks" + cause
	case audit.VerbRelease:
		return "it gets tasks again" + cause
	case audit.VerbDispatch:
		return "it was sent to a runner and no answer is recorded yet" + cause
	case audit.VerbAnswer:
		return "it was answered" + cause
	case audit.VerbTransition:
		return "it is " + inputValue(r, "To") + cause
	case audit.VerbInForce:
		return fmt.Sprintf("revision %d is in force", r.Revision)
	case audit.VerbPut, audit.VerbPromote:
		return fmt.Sprintf("revision %d is accepted", r.Revision)
	case audit.VerbClaim:
		return "its lead is " + string(r.VM) + cause
	default:
		return "last: " + describeRecord(r, r.Subject)
	}
}

// describeRecord describes one record in plain words within the story of a subject.
func describeRecord(r audit.Record, subject string) string {
	if r.Verb == audit.VerbTransition {
		return fmt.Sprintf("%s went from %s to %s%s", displayName(r.Subject, subject), inputValue(r, "From"), inputValue(r, "To"), causeSuffix(r))
	}
	text := verbPhrase(r.Verb) + " " + displayName(r.Subject, subject)
	if r.Verb == audit.VerbPut || r.Verb == audit.VerbPromote {
		text = r.Actor + " " + text
	}
	text += placeSuffix(r) + causeSuffix(r)
	if facts := describeInputs(r); facts != "" {
		text += " [" + facts + "]"
	}
	return text
}

// displayName returns the name of a record's subject. A part of the story's subject has a short name, such as "task 0,
// attempt 1".
func displayName(id, subject string) string {
	tail, part := strings.CutPrefix(id, subject)
	if !part || tail == "" {
		return id
	}
	task, attempt, _ := strings.Cut(strings.TrimPrefix(tail, "/"), "#")
	switch {
	case tail[0] == '/' && attempt == "":
		return "task " + task
	case tail[0] == '/':
		return "task " + task + ", attempt " + attempt
	case tail[0] == '#':
		return "attempt " + attempt
	default:
		return id
	}
}

// verbPhrase returns the phrase for a verb, or the verb in lower case if it has none.
func verbPhrase(v audit.Verb) string {
	if text, known := verbPhrases[v]; known {
		return text
	}
	return strings.ToLower(string(v))
}

// causeSuffix returns the cause of a record with a colon before it, or nothing.
func causeSuffix(r audit.Record) string {
	cause := strings.TrimRight(r.Cause, ": ")
	if cause == "" {
		return ""
	}
	return ": " + cause
}

// inputValue returns the value of the record's input with the name, or an empty string.
func inputValue(r audit.Record, name string) string {
	for _, i := range r.Inputs {
		if i.Name == name {
			return i.Value
		}
	}
	return ""
}

// placeSuffix returns " on " and the worker or runner of a record, or an empty string if it has neither.
func placeSuffix(r audit.Record) string {
	if worker := inputValue(r, "Worker"); worker != "" {
		return " on " + worker
	}
	if runner := inputValue(r, "Runner"); runner != "" {
		return " on " + runner
	}
	return ""
}

// describeInputs lists the inputs of a record but the worker and runner.
func describeInputs(r audit.Record) string {
	parts := make([]string, 0, len(r.Inputs))
	for _, i := range r.Inputs {
		if i.Name != "Worker" && i.Name != "Runner" {
			parts = append(parts, i.Name+" "+i.Value)
		}
	}
	return strings.Join(parts, ", ")
}

// Classes formats the numbers of waiting tasks by class, most urgent class first.
func Classes(waiting map[types.Class]int) string {
	parts := make([]string, 0, len(waiting))
	for _, class := range types.Classes() {
		parts = append(parts, fmt.Sprintf("%s %d", class, waiting[class]))
	}
	return strings.Join(parts, ", ")
}
