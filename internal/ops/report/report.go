// Package report tells operators in plain words what happened and why, and how the fleet stands.
package report

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
)

const (
	timeFormat = "2006-01-02 15:04:05"
	// unknownStory is the summary when no record is found.
	unknownStory = "nothing is recorded about it; records are kept for a day, and an idempotent request that was answered leaves none"
)

type (
	// Story is what happened to one subject.
	Story struct {
		Subject string `json:"Subject"`
		// Summary tells in one sentence how the subject stands and why.
		Summary string  `json:"Summary"`
		Events  []Event `json:"Events"`
		// Missing lists the sources that did not answer.
		Missing []string `json:"Missing,omitempty"`
	}

	// Event is one record in plain words. Count is above 1 when the same thing was recorded several times in a row.
	Event struct {
		At    time.Time `json:"At"`
		Text  string    `json:"Text"`
		Count int       `json:"Count"`
		Until time.Time `json:"Until"`
		// Record is the first of the records.
		Record audit.Record `json:"Record"`
	}
)

// Explain tells the story of a subject from its records, which are in order of time.
func Explain(records []audit.Record, subject string) Story {
	story := Story{Subject: subject, Summary: unknownStory}
	for _, r := range records {
		story.add(r)
	}
	if last := len(story.Events) - 1; last >= 0 {
		story.Summary = summary(records, subject)
	}
	return story
}

// add appends a record, or counts it with the event before when that says the same.
func (s *Story) add(r audit.Record) {
	text := sentence(r)
	if last := len(s.Events) - 1; last >= 0 && s.Events[last].Text == text && s.Events[last].Record.VM == r.VM {
		s.Events[last].Count++
		s.Events[last].Until = r.At
		return
	}
	s.Events = append(s.Events, Event{At: r.At, Until: r.At, Text: text, Count: 1, Record: r})
}

// WriteText writes the story for a terminal.
func (s Story) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s\n", s.Subject, s.Summary)
	for _, e := range s.Events {
		fmt.Fprintf(&b, "  %s  %s", e.At.Format(timeFormat), e.Text)
		if e.Count > 1 {
			fmt.Fprintf(&b, " (%d times until %s)", e.Count, e.Until.Format(timeFormat))
		}
		fmt.Fprintf(&b, "  [%s, %s]\n", e.Record.VM, e.Record.Site)
	}
	if len(s.Missing) > 0 {
		fmt.Fprintf(&b, "  not all sources answered, so a part may be missing: %s\n", strings.Join(s.Missing, ", "))
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return errs.New(errs.Internal, "writing the story: %v", err)
	}
	return nil
}

// summary tells how the subject stands after its records. Records of the subject itself and its parts count
// before those that only mention it.
func summary(records []audit.Record, subject string) string {
	for i := len(records) - 1; i >= 0; i-- {
		if records[i].Subject == subject && decisive(records[i].Verb) {
			return standing(records[i])
		}
	}
	for i := len(records) - 1; i >= 0; i-- {
		if decisive(records[i].Verb) {
			return standing(records[i])
		}
	}
	return "last: " + sentence(records[len(records)-1])
}

// decisive tells whether a record alone tells how its subject stands.
func decisive(v audit.Verb) bool {
	return v != audit.VerbTransition && v != audit.VerbThrottle
}

// standing tells how a subject stands after its last record.
func standing(r audit.Record) string {
	because := reason(r)
	switch r.Verb {
	case audit.VerbWait:
		return "it waits" + because
	case audit.VerbRefuse:
		return "it was refused" + because
	case audit.VerbAccept:
		return "it was accepted and waits for its start" + because
	case audit.VerbIntend:
		return "its start is committed and not yet confirmed" + because
	case audit.VerbStart:
		return "it runs" + at(r) + because
	case audit.VerbEnd:
		return "it has ended" + because
	case audit.VerbStop:
		return "it was stopped" + because
	case audit.VerbPreempt:
		return "it was stopped to make room and will run again" + because
	case audit.VerbCancel:
		return "it was cancelled" + because
	case audit.VerbHandOver:
		return "it was moved to another data centre" + because
	case audit.VerbQuarantine:
		return "it is in quarantine and gets no tasks" + because
	case audit.VerbRelease:
		return "it gets tasks again" + because
	case audit.VerbDispatch:
		return "it was sent to a runner and no answer is recorded yet" + because
	case audit.VerbAnswer:
		return "it was answered" + because
	default:
		return "last: " + sentence(r)
	}
}

// sentence tells one record in plain words.
func sentence(r audit.Record) string {
	text := phrase(r.Verb) + " " + r.Subject
	if r.Verb == audit.VerbPut || r.Verb == audit.VerbPromote {
		text = r.Actor + " " + text
	}
	text += at(r) + reason(r)
	if r.Revision > 0 {
		text += fmt.Sprintf(" (document revision %d)", r.Revision)
	}
	if facts := inputs(r); facts != "" {
		text += " [" + facts + "]"
	}
	return text
}

func phrase(v audit.Verb) string {
	switch v {
	case audit.VerbAccept:
		return "accepted"
	case audit.VerbRefuse:
		return "refused"
	case audit.VerbIntend:
		return "committed the start of"
	case audit.VerbStart:
		return "started"
	case audit.VerbEnd:
		return "ended"
	case audit.VerbStop:
		return "stopped"
	case audit.VerbPreempt:
		return "stopped, to make room,"
	case audit.VerbThrottle:
		return "throttled"
	case audit.VerbWait:
		return "could not yet start"
	case audit.VerbCancel:
		return "cancelled"
	case audit.VerbHandOver:
		return "moved to another data centre"
	case audit.VerbQuarantine:
		return "put into quarantine"
	case audit.VerbRelease:
		return "released from quarantine"
	case audit.VerbClaim:
		return "took the lead of"
	case audit.VerbStepDown:
		return "gave up the lead of"
	case audit.VerbPut:
		return "put a new document into"
	case audit.VerbPromote:
		return "promoted a document to"
	case audit.VerbInForce:
		return "put in force the document of"
	case audit.VerbDispatch:
		return "sent to a runner"
	case audit.VerbAnswer:
		return "answered"
	default:
		return strings.ToLower(string(v))
	}
}

func reason(r audit.Record) string {
	if r.Cause == "" {
		return ""
	}
	return ": " + r.Cause
}

// at names the worker or runner of a record, when it has one.
func at(r audit.Record) string {
	for _, input := range r.Inputs {
		if input.Name == "Worker" || input.Name == "Runner" {
			return " on " + input.Value
		}
	}
	return ""
}

func inputs(r audit.Record) string {
	parts := make([]string, 0, len(r.Inputs))
	for _, input := range r.Inputs {
		if input.Name != "Worker" && input.Name != "Runner" {
			parts = append(parts, input.Name+" "+input.Value)
		}
	}
	return strings.Join(parts, ", ")
}

// Classes lists waiting work by class, the most urgent first.
func Classes(waiting map[types.Class]int) string {
	parts := make([]string, 0, len(waiting))
	for _, class := range types.Classes() {
		parts = append(parts, fmt.Sprintf("%s %d", class, waiting[class]))
	}
	return strings.Join(parts, ", ")
}
