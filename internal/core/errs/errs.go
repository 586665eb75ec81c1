// Package errs defines the closed list of error kinds, and for each kind the HTTP status and the exit code
// that callers, operators and other daemons receive.
package errs

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Kinds of error. The list is closed: every error that leaves a package has one of them.
const (
	// Invalid means that the input violates a rule of its format.
	Invalid Kind = "Invalid"
	// Denied means that the caller lacks the right to make the call.
	Denied Kind = "Denied"
	// NotFound means that the named entity does not exist.
	NotFound Kind = "NotFound"
	// Conflict means that another writer changed the record first, or that an earlier call rules this one out.
	Conflict Kind = "Conflict"
	// Impossible means that the work can never run as specified.
	Impossible Kind = "Impossible"
	// TooLarge means that a body is larger than its limit.
	TooLarge Kind = "TooLarge"
	// QuotaExceeded means that the work would exceed the team's quota.
	QuotaExceeded Kind = "QuotaExceeded"
	// Overloaded means that the work was shed before it was dispatched.
	Overloaded Kind = "Overloaded"
	// Unavailable means that a dependency could not be reached and nothing was done.
	Unavailable Kind = "Unavailable"
	// Draining means that the process is shutting down and did not accept the work.
	Draining Kind = "Draining"
	// Deadline means that the time limit passed before the work was dispatched.
	Deadline Kind = "Deadline"
	// Unknown means that the work was dispatched and its effect is not known.
	Unknown Kind = "Unknown"
	// Lost means that a call was sent and its answer did not arrive, so that its effect is not known.
	Lost Kind = "Lost"
	// Fenced means that the sender's epoch is older than one that the receiver has seen, or that the receiver is not
	// the leader that the call is for.
	Fenced Kind = "Fenced"
	// Internal means that the process violated one of its own invariants, or that an error has no kind.
	Internal Kind = "Internal"
)

// separator separates the fields of an encoded error.
const separator = "|"

type (
	// Kind is an entry of the closed list of error kinds.
	Kind string

	// Error is an error with a kind, a message for people, and the delay after which to retry (zero if not given).
	Error struct {
		Kind       Kind          `json:"Kind"`
		Message    string        `json:"Message"`
		RetryAfter time.Duration `json:"RetryAfter,omitempty"`

		cause error
	}
)

// Error returns the kind and the message, as in "Conflict: message".
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Message
}

// Unwrap returns the error that caused this one, or nil.
func (e *Error) Unwrap() error {
	return e.cause
}

// Wrap returns an error of the given kind whose message ends with that of the cause. The cause can be found with
// errors.Is within this process only, since it is not encoded.
func Wrap(kind Kind, cause error, format string, args ...any) error {
	message := fmt.Sprintf(format, args...) + ": " + cause.Error()
	return trace.Wrap(&Error{Kind: kind, Message: message, cause: cause})
}

// New returns an error of the given kind with a stack trace.
func New(kind Kind, format string, args ...any) error {
	return trace.Wrap(&Error{Kind: kind, Message: fmt.Sprintf(format, args...)})
}

// After returns an error of the given kind that tells the caller to retry after the given delay.
func After(kind Kind, retryAfter time.Duration, format string, args ...any) error {
	return trace.Wrap(&Error{Kind: kind, Message: fmt.Sprintf(format, args...), RetryAfter: retryAfter})
}

// Of returns the Error in the chain of err, or one of kind Internal if there is none. Err must not be nil.
func Of(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return &Error{Kind: Internal, Message: err.Error()}
}

// Is reports whether err has one of the kinds; nil has none.
func Is(err error, kinds ...Kind) bool {
	if err == nil {
		return false
	}
	kind := Of(err).Kind
	for _, k := range kinds {
		if kind == k {
			return true
		}
	}
	return false
}

// Encode returns err as a string that Decode reads, because net/rpc carries errors as strings.
func Encode(err error) string {
	typed := Of(err)
	return strings.Join([]string{string(typed.Kind), typed.RetryAfter.String(), typed.Message}, separator)
}

// Decode returns the error that Encode wrote as line; any other text becomes an error of kind Internal.
func Decode(line string) error {
	parts := strings.SplitN(line, separator, 3)
	if len(parts) != 3 {
		return New(Internal, "%s", line)
	}
	kind := Kind(parts[0])
	if _, known := answers[kind]; !known {
		return New(Internal, "%s", line)
	}
	retryAfter, err := time.ParseDuration(parts[1])
	if err != nil {
		return New(Internal, "%s", line)
	}
	return After(kind, retryAfter, "%s", parts[2])
}
