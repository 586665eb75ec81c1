package types

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

// Outcomes of a request.
const (
	// OutcomeDone means that the complete answer is present.
	OutcomeDone Outcome = "Done"
	// OutcomeNotRun means that the request certainly did not run: it was not dispatched, or no runner accepted it.
	OutcomeNotRun Outcome = "NotRun"
	// OutcomeUnknown means that it is not known whether the request ran, for example after a lost answer.
	OutcomeUnknown Outcome = "Unknown"
)

// Limits of a request: the bodies in bytes, and how far ahead its deadline may be.
const (
	MaxRequestBody = 1 << 20
	MaxAnswerBody  = 8 << 20
	MaxDeadline    = 10 * time.Minute
)

type (
	// Outcome is the result of a request as reported to its caller.
	Outcome string
	// Digest is the 64-bit xxHash of a body.
	Digest uint64

	// Request is one call to a service.
	Request struct {
		ID         RequestID   `json:"ID"`
		Service    ServiceName `json:"Service"`
		Team       TeamID      `json:"Team"`
		Class      Class       `json:"Class"`
		Idempotent bool        `json:"Idempotent,omitempty"`
		// Deadline is the time at which the caller stops waiting.
		Deadline time.Time `json:"Deadline"`
		Body     []byte    `json:"Body,omitempty"`
	}

	// Answer is what a caller receives for its request.
	Answer struct {
		ID      RequestID `json:"ID"`
		Outcome Outcome   `json:"Outcome"`
		Body    []byte    `json:"Body,omitempty"`
		// Length and Digest are those of the complete body.
		Length Bytes  `json:"Length"`
		Digest Digest `json:"Digest"`
		// Reason is the error because of which the outcome is not Done, or the body of a Done answer was not kept.
		Reason *errs.Error `json:"Reason,omitempty"`
		// AskAt is the data centre to which the caller can send a query about the id later.
		AskAt DataCentre `json:"AskAt,omitempty"`
	}
)

// DigestOf returns the digest of a body, its 64-bit xxHash.
func DigestOf(body []byte) Digest {
	return Digest(xxhash.Sum64(body))
}

// Check returns an error if a field of the request is missing or invalid.
func (r *Request) Check() error {
	if _, err := ParseID(string(r.ID)); err != nil {
		return err
	}
	if err := CheckName("Service", string(r.Service)); err != nil {
		return err
	}
	if err := CheckName("Team", string(r.Team)); err != nil {
		return err
	}
	if err := r.Class.Check(); err != nil {
		return err
	}
	if len(r.Body) > MaxRequestBody {
		return errs.New(errs.TooLarge, "Body is over %d bytes", MaxRequestBody)
	}
	return nil
}

// Check returns an error of kind Invalid if the outcome is not a listed one, and of kind Unknown unless the body has
// the length and digest of the answer.
func (a *Answer) Check() error {
	switch a.Outcome {
	case OutcomeDone, OutcomeNotRun, OutcomeUnknown:
	default:
		return errs.New(errs.Invalid, "Outcome %q must be Done, NotRun or Unknown", a.Outcome)
	}
	if int64(len(a.Body)) != int64(a.Length) || DigestOf(a.Body) != a.Digest {
		return errs.New(errs.Unknown, "answer to %s is not whole: %d of %d bytes", a.ID, len(a.Body), a.Length)
	}
	return nil
}

// NewDoneAnswer returns an answer with outcome Done and the length and digest of the body.
func NewDoneAnswer(id RequestID, body []byte) *Answer {
	return &Answer{ID: id, Outcome: OutcomeDone, Body: body, Length: Bytes(len(body)), Digest: DigestOf(body)}
}

// NewUnfinishedAnswer returns an answer with an outcome other than Done.
func NewUnfinishedAnswer(id RequestID, outcome Outcome, reason error) *Answer {
	return &Answer{ID: id, Outcome: outcome, Digest: DigestOf(nil), Reason: errs.Of(reason)}
}
