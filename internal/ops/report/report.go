// Package report tells operators in plain words what happened and why, and how the fleet stands.
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
	// noRecordsSummary is the summary when no record is found.
	noRecordsSummary = "nothing is recorded about it; records are kept for a day, and an idempotent request that was answered leaves none"
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

	// Event is one record in plain words, or several alike in a row.
	Event struct {
		At    time.Time `json:"At"`
		Until time.Time `json:"Until"`
		Text  string    `json:"Text"`
		Count int       `json:"Count"`
		// Subjects lists what the records are about, each once.
		Subjects []string `json:"Subjects"`
		// Record is the first of the records.
		Record audit.Record `json:"Record"`
	}
)

// Explain tells the story of a subject from its records, which are in order of time.
func Explain(records []audit.Record, subject string) Story {
	story := Story{Subject: subject, Summary: noRecordsSummary}
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

// isRedundant tells whether a change of a task's state only repeats the record of its start or end.
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

// addRecord appends a record, or counts it with the event before when that is alike.
func (s *Story) addRecord(r audit.Record, lastRevision types.Revision) {
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

// canMerge tells whether two records say the same of one subject, or of two parts of the story's subject.
func (s *Story) canMerge(a, b audit.Record) bool {
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

func (e *Event) mergeRecord(r audit.Record) {
	e.Count++
	e.Until = r.At
	if !slices.Contains(e.Subjects, r.Subject) {
		e.Subjects = append(e.Subjects, r.Subject)
	}
}

// WriteText writes the story for a terminal.
func (s Story) WriteText(w io.Writer) error {
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
		return errs.New(errs.Internal, "writing the story: %v", err)
	}
	return nil
}

// repetition tells how often the event was recorded, or of how many subjects.
func (e *Event) repetition() string {
	if len(e.Subjects) > 1 {
		return fmt.Sprintf("and %d more like it", e.Count-1)
	}
	return fmt.Sprintf("%d times", e.Count)
}

// summary tells how the subject stands after its records. Records of the subject itself count before those of
// its parts and those that only mention it.
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
