package edit

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// draft is a document that an operator submits, with the revision that it is to replace.
type draft struct {
	env    envdoc.Name
	expect types.Revision
	body   []byte
	from   envdoc.Name
	verb   audit.Verb
}

// replace archives the accepted document and then replaces it. If the writer stops between the two writes, the history
// holds a copy of the document that is still accepted; the next writer finds that copy and uses it as its own.
func (e *Editor) replace(ctx context.Context, d draft) (Accepted, error) {
	found, err := e.readCurrent(ctx, d.env)
	if err != nil {
		return Accepted{}, err
	}
	if found.record.Revision != d.expect {
		return Accepted{}, e.auditRejection(d.env, e.revisionConflict(ctx, d, found.record))
	}
	next := Accepted{
		Environment: d.env, Revision: found.record.Revision + 1, Digest: types.DigestOf(d.body), Body: d.body,
		By: e.config.By, At: acceptanceTime(e.config.Clock.Now(), found.record.At), From: d.from,
	}
	if err := Archive(ctx, e.config.Store, found.record); err != nil {
		return Accepted{}, writeError(err)
	}
	_, err = store.Commit(ctx, e.config.Store, store.Put{Key: CurrentKey(d.env), Expect: found.version}, next)
	if errs.Is(err, errs.Conflict) {
		accepted, historyErr := e.isInHistory(ctx, next)
		if historyErr != nil {
			return Accepted{}, errs.New(errs.Lost, "the document may have been accepted; its history could not be read: %v", historyErr)
		}
		if !accepted {
			return Accepted{}, e.auditRejection(d.env, e.writeConflict(ctx, d))
		}
	}
	if err != nil && !errs.Is(err, errs.Conflict) {
		return Accepted{}, writeError(err)
	}
	e.auditAccepted(d, next)
	return next, nil
}

// isInHistory reports whether the record was accepted and has been replaced since. This happens when the answer to the
// write is lost and another operator replaces the record, which archives it, before it is read back. After an error it is
// not known.
func (e *Editor) isInHistory(ctx context.Context, record Accepted) (bool, error) {
	page, err := e.config.Store.List(ctx, HistoryKey(record.Environment, record.Revision))
	if err != nil {
		return false, err
	}
	for _, entry := range page.Entries {
		found, err := Decode(entry)
		if err == nil && found.Digest == record.Digest && found.By == record.By && found.At.Equal(record.At) {
			return true, nil
		}
	}
	return false, nil
}

// auditAccepted records an accepted change in the audit trail.
func (e *Editor) auditAccepted(d draft, next Accepted) {
	inputs := []audit.Input{{Name: "Digest", Value: fmt.Sprint(uint64(next.Digest))}}
	cause := "the operator read revision " + fmt.Sprint(d.expect)
	if d.from != "" {
		cause = fmt.Sprintf("promoted from %s; %s", d.from, cause)
	}
	e.config.Audit.Record(audit.Record{
		Actor: e.config.By, Verb: d.verb, Subject: string(d.env), Cause: cause,
		Revision: next.Revision, Inputs: inputs,
	})
}

// readCurrent returns the accepted record. When the store was restored to an older state than the record in force on
// the daemon, ReconcileStore first reconciles the store with that record.
func (e *Editor) readCurrent(ctx context.Context, env envdoc.Name) (storedRecord, error) {
	found, err := load(ctx, e.config.Store, env)
	if err != nil {
		return storedRecord{}, readError(err)
	}
	inForce := e.config.InForce(env)
	if inForce == nil || !inForce.Newer(&found.record) {
		return found, nil
	}
	if _, err := ReconcileStore(ctx, e.config.Store, *inForce); err != nil {
		return storedRecord{}, writeError(err)
	}
	found, err = load(ctx, e.config.Store, env)
	if err != nil {
		return storedRecord{}, readError(err)
	}
	return found, nil
}

// acceptanceTime returns the present time, or a time just after the earlier one when the present time is not later,
// as when clocks differ. Times of acceptance must grow with the revisions.
func acceptanceTime(now, earlier time.Time) time.Time {
	if now.After(earlier) {
		// Round strips the monotonic clock reading, which is not stored.
		return now.UTC().Round(0)
	}
	return earlier.Add(time.Nanosecond)
}

// revisionConflict returns the error of kind Conflict for an operator whose expected revision is not the accepted one.
func (e *Editor) revisionConflict(ctx context.Context, d draft, now Accepted) error {
	if now.Revision == 0 {
		return errs.New(errs.Conflict, "%s has no document yet; put with expected revision 0", d.env)
	}
	if now.Revision < d.expect {
		return errs.New(errs.Conflict, "%s is at revision %d, below the expected %d; get it and put again",
			d.env, now.Revision, d.expect)
	}
	return errs.New(errs.Conflict, "%s is at revision %d, put by %s at %s, not at the expected %d. "+
		"Your document was not taken and is unchanged on your side. The other change:\n%s"+
		"Get revision %d with env show, make your change there, and put it with that revision",
		d.env, now.Revision, now.By, now.At.Format("15:04:05"), d.expect, e.difference(ctx, d, now), now.Revision)
}

// writeConflict returns the error of kind Conflict for an operator whose document was overtaken by another change
// between the read and the write.
func (e *Editor) writeConflict(ctx context.Context, d draft) error {
	found, err := load(ctx, e.config.Store, d.env)
	if err != nil {
		return errs.New(errs.Conflict, "%s was changed by another operator; get it and put again", d.env)
	}
	return e.revisionConflict(ctx, d, found.record)
}

// difference describes the changes from the revision that the operator read to the accepted one, one on each line.
func (e *Editor) difference(ctx context.Context, d draft, now Accepted) string {
	var before *envdoc.Document
	if d.expect > 0 {
		old, err := e.Revision(ctx, d.env, d.expect)
		if err != nil {
			return fmt.Sprintf("  (revision %d can't be read for a comparison)\n", d.expect)
		}
		before, _ = envdoc.Examine(old.Body)
	}
	after, _ := envdoc.Examine(now.Body)
	var text strings.Builder
	for _, change := range envdoc.Compare(before, after) {
		text.WriteString("  " + change.String() + "\n")
	}
	return text.String()
}

// readError returns the error for a failed read of the store. For kinds Unavailable and Lost it adds that nothing was
// changed and when to try again.
func readError(err error) error {
	if errs.Is(err, errs.Unavailable, errs.Lost) {
		return errs.After(errs.Unavailable, retryAfter,
			"the store can't be read, nothing was changed; try again in %s: %s", retryAfter, errs.Of(err).Message)
	}
	return err
}

// writeError returns the error for a failed write to the store. It adds that the change is in doubt (kind Lost) or that
// it had no effect (kind Unavailable), and what to do next.
func writeError(err error) error {
	switch {
	case errs.Is(err, errs.Lost):
		return errs.After(errs.Lost, retryAfter, "it is not known whether the change was accepted; "+
			"run get and compare the digest before putting again: %s", errs.Of(err).Message)
	case errs.Is(err, errs.Unavailable):
		return errs.After(errs.Unavailable, retryAfter,
			"the store can't be written, nothing was changed; try again in %s: %s", retryAfter, errs.Of(err).Message)
	default:
		return err
	}
}
