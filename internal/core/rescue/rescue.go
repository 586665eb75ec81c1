// Package rescue turns a panic in one call or loop into an error, a log line and a count, so that one malformed message
// neither ends the process nor leaves a part of it missing without notice.
package rescue

import (
	"runtime/debug"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

// metricPanics counts the panics that were recovered.
const metricPanics = "Process.Panics"

// Rescuer recovers panics. It is safe for concurrent use.
type Rescuer struct {
	log    zerolog.Logger
	panics metrics.Counter
}

// New returns a Rescuer that logs to log and counts in the registry.
func New(log zerolog.Logger, registry metrics.Registry) *Rescuer {
	return &Rescuer{log: log, panics: metrics.GetOrRegisterCounter(metricPanics, registry)}
}

// Call runs f and returns its error, or one of kind Internal if it panics: its effect is not known then.
func (r *Rescuer) Call(what string, f func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			r.panics.Inc(1)
			r.log.Error().Str("What", what).Interface("Panic", cause).Bytes("Stack", debug.Stack()).Msg("recovered a panic")
			err = errs.New(errs.Internal, "%s panicked: %v", what, cause)
		}
	}()
	return f()
}

// Run runs f, and calls onPanic if f panics.
func (r *Rescuer) Run(what string, f, onPanic func()) {
	err := r.Call(what, func() error {
		f()
		return nil
	})
	if err != nil {
		onPanic()
	}
}
