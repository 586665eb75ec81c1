// Package edit reads and changes environment documents in the platform's store. Each change is a compare-and-swap
// on the revision that the operator read.
package edit

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

const (
	// currentPrefix is the prefix of the keys under which the accepted document of each environment is stored.
	currentPrefix = "Environments/"
	// historyPrefix is the prefix of the keys under which replaced documents are stored. Each key is written once.
	historyPrefix = "History/"
	// retryAfter is the delay that errors suggest to the operator before a retry.
	retryAfter = 5 * time.Second
)

type (
	// Accepted is the store's record of one accepted document. Newer orders such records.
	Accepted struct {
		Environment envdoc.Name    `json:"Environment"`
		Revision    types.Revision `json:"Revision"`
		Digest      types.Digest   `json:"Digest"`
		Body        []byte         `json:"Body"`
		By          string         `json:"By"`
		At          time.Time      `json:"At"`
		// From is the environment from which the document was promoted; it is empty for a document that was put.
		From envdoc.Name `json:"From,omitempty"`
	}

	// Config holds the dependencies of an editor and the operator's name.
	Config struct {
		Store store.Store
		Clock clockwork.Clock
		Audit audit.Recorder
		// By is the operator's name, for the record and the audit trail.
		By string
		// InForce returns the record that is in force on the daemon, or nil if there is none. The editor compares
		// it with the store to detect a store that was restored to an older state.
		InForce func(envdoc.Name) *Accepted
	}

	// Editor changes environment documents for one operator. It is safe for concurrent use.
	Editor struct {
		config Config
	}

	// storedRecord is an accepted record with its version in the store, for compare-and-swap.
	storedRecord struct {
		record  Accepted
		version store.Version
	}
)

// New returns an editor. Without Audit it records nothing; without InForce it trusts the store.
func New(c Config) *Editor {
	if c.Audit == nil {
		c.Audit = audit.Discard{}
	}
	if c.InForce == nil {
		c.InForce = func(envdoc.Name) *Accepted { return nil }
	}
	return &Editor{config: c}
}

// CurrentKey returns the key that holds the accepted document of an environment.
func CurrentKey(env envdoc.Name) store.Key {
	return store.Key(currentPrefix + string(env))
}

// HistoryKey returns the key that holds one replaced document of an environment. It is also the prefix of the keys
// of other documents that were accepted under the same revision.
func HistoryKey(env envdoc.Name, revision types.Revision) store.Key {
	return store.Key(fmt.Sprintf("%s%s/%020d", historyPrefix, env, revision))
}

// Check returns an error of kind Invalid when the environment or the revision is missing, or when the body does not
// match the digest.
func (a *Accepted) Check() error {
	if a.Environment == "" || a.Revision == 0 {
		return errs.New(errs.Invalid, "Environment and Revision must be set")
	}
	if types.DigestOf(a.Body) != a.Digest {
		return errs.New(errs.Invalid, "the body of revision %d of %s does not match its digest", a.Revision, a.Environment)
	}
	return nil
}

// Newer reports whether the record replaces the other one, which may be nil. Records are ordered by revision, then
// by time of acceptance, then by digest. The last two matter only when a restored store issued a revision twice.
func (a *Accepted) Newer(other *Accepted) bool {
	if other == nil {
		return true
	}
	if a.Revision != other.Revision {
		return a.Revision > other.Revision
	}
	if !a.At.Equal(other.At) {
		return a.At.After(other.At)
	}
	return a.Digest > other.Digest
}

// Get returns the accepted document of an environment, or an error of kind NotFound when there is none yet.
func (e *Editor) Get(ctx context.Context, env envdoc.Name) (Accepted, error) {
	found, err := e.readCurrent(ctx, env)
	if err != nil {
		return Accepted{}, err
	}
	if found.record.Revision == 0 {
		return Accepted{}, errs.New(errs.NotFound,
			"environment %s has no document yet; put the first one with expected revision 0", env)
	}
	return found.record, nil
}

// Put replaces the document of an environment if its accepted revision is the expected one; 0 means that there is
// none yet. An error of kind Conflict describes what the other operator changed.
func (e *Editor) Put(ctx context.Context, env envdoc.Name, expect types.Revision, body []byte) (Accepted, error) {
	document, err := envdoc.Parse(body)
	if err != nil {
		return Accepted{}, e.auditRejection(env, err)
	}
	if err := checkEnvironment(document, env); err != nil {
		return Accepted{}, e.auditRejection(env, err)
	}
	return e.replace(ctx, draft{env: env, expect: expect, body: body, verb: audit.VerbPut})
}

// Promote copies the accepted document of one environment to another one, byte for byte. It takes effect only if the
// source still has the digest, and the target the revision, that the operator read; otherwise the error is of kind
// Conflict.
func (e *Editor) Promote(ctx context.Context, from, to envdoc.Name, expectFrom types.Digest,
	expectTo types.Revision,
) (Accepted, error) {
	if from == to {
		return Accepted{}, e.auditRejection(to, errs.New(errs.Invalid, "name two environments; both are %s", from))
	}
	source, err := e.Get(ctx, from)
	if err != nil {
		return Accepted{}, err
	}
	if source.Digest != expectFrom {
		return Accepted{}, e.auditRejection(to, errs.New(errs.Conflict,
			"%s now has revision %d with digest %d, put by %s, not the digest %d that was tried; "+
				"try that revision, then promote it", from, source.Revision, source.Digest, source.By, expectFrom))
	}
	document, err := envdoc.Parse(source.Body)
	if err != nil {
		return Accepted{}, e.auditRejection(to, err)
	}
	if err := checkEnvironment(document, to); err != nil {
		return Accepted{}, e.auditRejection(to, err)
	}
	return e.replace(ctx, draft{env: to, expect: expectTo, body: source.Body, from: from, verb: audit.VerbPromote})
}

// checkEnvironment returns an error of kind Invalid when the environment's name is malformed or the document names
// another environment.
func checkEnvironment(document *envdoc.Document, env envdoc.Name) error {
	if err := types.CheckName("environment", string(env)); err != nil {
		return err
	}
	if document.Environment == "" || document.Environment == env {
		return nil
	}
	return errs.New(errs.Invalid, "the document is only for environment %s, as its Environment says, not for %s; "+
		"leave Environment out of a document that is promoted", document.Environment, env)
}

// auditRejection records the rejection of a change in the audit trail, with the error's message as its cause, and
// returns the error.
func (e *Editor) auditRejection(env envdoc.Name, err error) error {
	e.config.Audit.Record(audit.Record{
		Actor: e.config.By, Verb: audit.VerbRefuse, Subject: string(env), Cause: errs.Of(err).Message,
	})
	return err
}
