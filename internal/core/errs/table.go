package errs

import "net/http"

// Exit codes of the command-line program.
const (
	ExitUsage    = 2
	ExitRefused  = 3
	ExitConflict = 4
	ExitRetry    = 5
	ExitUnknown  = 6
	ExitInternal = 70
)

// answers maps every listed kind to its answer.
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

// Answer is how an error of a kind is reported and what its receiver may conclude from it.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Exit is the exit code of the command-line program.
	Exit int
	// Retry is true if the same call may be made again later.
	Retry bool
	// MayHaveRun is true if the work may have taken effect.
	MayHaveRun bool
}

// AnswerOf returns the answer of a kind; a kind that is not listed has the answer of Internal.
func AnswerOf(kind Kind) Answer {
	row, known := answers[kind]
	if !known {
		return answers[Internal]
	}
	return row
}

// Kinds returns all listed kinds in no particular order.
func Kinds() []Kind {
	out := make([]Kind, 0, len(answers))
	for k := range answers {
		out = append(out, k)
	}
	return out
}
