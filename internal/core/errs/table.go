package errs

import "net/http"

// Exit codes of the command line.
const (
	ExitUsage    = 2
	ExitRefused  = 3
	ExitConflict = 4
	ExitRetry    = 5
	ExitUnknown  = 6
	ExitInternal = 70
)

var answers = map[Kind]Answer{
	Invalid:       {Status: http.StatusBadRequest, Exit: ExitUsage},
	Denied:        {Status: http.StatusForbidden, Exit: ExitRefused},
	NotFound:      {Status: http.StatusNotFound, Exit: ExitRefused},
	Conflict:      {Status: http.StatusConflict, Exit: ExitConflict},
	Impossible:    {Status: http.StatusUnprocessableEntity, Exit: ExitRefused},
	TooLarge:      {Status: http.StatusRequestEntityTooLarge, Exit: ExitUsage},
	QuotaExceeded: {Status: http.StatusTooManyRequests, Exit: ExitRetry, Retry: true},
	Overloaded:    {Status: http.StatusTooManyRequests, Exit: ExitRetry, Retry: true},
	Unavailable:   {Status: http.StatusServiceUnavailable, Exit: ExitRetry, Retry: true},
	Draining:      {Status: http.StatusServiceUnavailable, Exit: ExitRetry, Retry: true},
	Deadline:      {Status: http.StatusGatewayTimeout, Exit: ExitRetry, Retry: true},
	Unknown:       {Status: http.StatusBadGateway, Exit: ExitUnknown, MayHaveRun: true},
	Lost:          {Status: http.StatusBadGateway, Exit: ExitUnknown, MayHaveRun: true},
	Fenced:        {Status: http.StatusServiceUnavailable, Exit: ExitRetry, Retry: true},
	Internal:      {Status: http.StatusInternalServerError, Exit: ExitInternal, MayHaveRun: true},
}

// Answer is what a kind means to the receiver of an error.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Exit is the exit code of the command line.
	Exit int
	// Retry tells that the same call may be made again later.
	Retry bool
	// MayHaveRun tells that the work may have taken effect.
	MayHaveRun bool
}

// AnswerOf returns the row of the table for a kind; an unlisted kind is answered as Internal.
func AnswerOf(kind Kind) Answer {
	row, known := answers[kind]
	if !known {
		return answers[Internal]
	}
	return row
}

// Kinds returns every listed kind, in no order.
func Kinds() []Kind {
	out := make([]Kind, 0, len(answers))
	for k := range answers {
		out = append(out, k)
	}
	return out
}
