package daemon

import (
	"context"

	"github.com/magnoliawalk/magnoliawalk/internal/ops/report"
)

// operators implements httpd.Operators with the daemon's components.
type operators struct {
	daemon *Daemon
}

// Status returns the status of the fleet and its alarms.
func (o *operators) Status(ctx context.Context) (any, error) {
	return o.daemon.fleetStatus(ctx), nil
}

// Explain returns what happened to the subject and why, from the audit records.
func (o *operators) Explain(ctx context.Context, subject string) (any, error) {
	found, err := o.daemon.audit.Query(ctx, subject)
	if err != nil {
		return nil, err
	}
	story := report.Explain(found.Records, subject)
	story.Missing = found.Missing
	return story, nil
}

// InForce returns the document revision that each known VM has in force.
func (o *operators) InForce(ctx context.Context) (any, error) {
	return o.daemon.spread.Status(ctx), nil
}
