// Package report explains to operators in plain words what happened to a subject and why, and reports the status of the
// fleet.
package report

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

const (
	timeFormat = "2006-01-02 15:04:05"
	// noRecordsSummary is the summary of a subject without records.
	noRecordsSummary = "nothing is recorded about it; records are kept for a day, and an idempotent request that was answered leaves none"
)

type (
	// Explanation is the explanation of what happened to one subject.
	Explanation struct {
		Subject string `json:"Subject"`
		// Summary states the subject's current state and its cause in one sentence.
		Summary string  `json:"Summary"`
		Events  []Event `json:"Events"`
		// Missing lists the sources that did not answer.
		Missing []string `json:"Missing,omitempty"`
	}

	// Event is one record in plain words, or several similar ones in a row.
	Event struct {
		// At is the time of the first record, Until that of the last.
		At    time.Time `json:"At"`
		Until time.Time `json:"Until"`
		Text  string    `json:"Text"`
		// Count is the number of records.
		Count int `json:"Count"`
		// Subjects lists the subjects of the records, each once.
		Subjects []string `json:"Subjects"`
		// Record is the first of the records.
		Record audit.Record `json:"Record"`
	}
)

// Explain returns the story of a subject. The records must be in order of time.
func Explain(records []audit.Record, subject string) Explanation {
	story := Explanation{Subject: subject, Summary: noRecordsSummary}
	var lastRevision types.Revision
	for _, r := range records {
		if isRedundant(r) {
			continue
		}
		story.addRecord(r, lastRevision)
		lastRevision = r.Revision
	}
	if len(records) > 0 {
		story.Summary = summary(records, subject)
	}
	return story
}

// isRedundant reports whether a record is a transition of a task's state that only repeats the record of its start or
// end.
func isRedundant(r audit.Record) bool {
	if r.Verb != audit.VerbTransition || !strings.Contains(r.Subject, "/") {
		return false
	}
	switch table.TaskState(inputValue(r, "To")) {
	case table.TaskIntended, table.TaskRunning, table.TaskDone:
		return true
	default:
		return false
	}
}

// addRecord merges a record into the last event if they are similar, and else appends a new event. The event names the
// document revision if it differs from lastRevision, the revision of the record before.
func (s *Explanation) addRecord(r audit.Record, lastRevision types.Revision) {
	if last := len(s.Events) - 1; last >= 0 && s.canMerge(s.Events[last].Record, r) {
		s.Events[last].mergeRecord(r)
		return
	}
	text := describeRecord(r, s.Subject)
	if r.Revision > 0 && r.Revision != lastRevision {
		text += fmt.Sprintf(" (document revision %d)", r.Revision)
	}
	s.Events = append(s.Events, Event{
		At: r.At, Until: r.At, Text: text, Count: 1, Subjects: []string{r.Subject}, Record: r,
	})
}

// canMerge reports whether two records of one VM state the same of one subject or of two parts of the story's subject.
// For parts, only the causes up to a colon are compared, and those of starts not at all.
func (s *Explanation) canMerge(a, b audit.Record) bool {
	if a.Verb != b.Verb || a.VM != b.VM {
		return false
	}
	if a.Subject == b.Subject {
		return a.Cause == b.Cause && a.Revision == b.Revision
	}
	first, _, _ := strings.Cut(a.Cause, ":")
	second, _, _ := strings.Cut(b.Cause, ":")
	part := strings.HasPrefix(a.Subject, s.Subject) && strings.HasPrefix(b.Subject, s.Subject)
	return part && a.Subject != s.Subject && b.Subject != s.Subject && (first == second || a.Verb == audit.VerbStart)
}

// mergeRecord counts a record in the event.
func (e *Event) mergeRecord(r audit.Record) {
	e.Count++
	e.Until = r.At
	if !slices.Contains(e.Subjects, r.Subject) {
		e.Subjects = append(e.Subjects, r.Subject)
	}
}

// WriteText writes the story as text for a terminal.
func (s Explanation) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s\n", s.Subject, s.Summary)
	for _, e := range s.Events {
		fmt.Fprintf(&b, "  %s  %s", e.At.Format(timeFormat), e.Text)
		if e.Count > 1 {
			fmt.Fprintf(&b, " (%s until %s)", e.repetition(), e.Until.Format(timeFormat))
		}
		fmt.Fprintf(&b, "  [%s, %s]\n", e.Record.VM, e.Record.Site)
	}
	if len(s.Missing) > 0 {
		fmt.Fprintf(&b, "  not all sources answered, so a part may be missing: %s\n", strings.Join(s.Missing, ", "))
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return errs.New(errs.Internal, "writing the explanation: %v", err)
	}
	return nil
}

// repetition returns a phrase for how often the event was recorded, or for how many more records it stands if they are
// of several subjects.
func (e *Event) repetition() string {
	if len(e.Subjects) > 1 {
		return fmt.Sprintf("and %d more like it", e.Count-1)
	}
	return fmt.Sprintf("%d times", e.Count)
}

// summary returns the current state of a subject by its last record. Records of the subject itself take precedence over
// those of its parts and those that only mention it. A throttle record says nothing about the state, nor does a refused
// edit of an environment that has a document in force.
func summary(records []audit.Record, subject string) string {
	edited := slices.ContainsFunc(records, func(r audit.Record) bool {
		return r.Subject == subject && r.Verb == audit.VerbInForce
	})
	for _, r := range slices.Backward(records) {
		refusedEdit := edited && r.Verb == audit.VerbRefuse
		if r.Subject == subject && r.Verb != audit.VerbThrottle && !refusedEdit {
			return currentState(r)
		}
	}
	return "last: " + describeRecord(records[len(records)-1], subject)
}
