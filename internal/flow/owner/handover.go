package owner

import (
	"fmt"
	"time"
)

const (
	// handoverSlowness is how many times slower than usual this VM must be for its leader to leave the term to another daemon: work that
	// took a third of the processor takes all of it then.
	handoverSlowness = 3
	// minSlowTerm is how long a term lasts at least before it is left for that, so that leaders on slow VMs do not follow each other too fast.
	minSlowTerm = 3 * time.Second
)

// leaveIfSlow leaves the term, which began at the given time, to another daemon when this VM has become much slower than it was. A leader
// that is only busy stays: another one would be as busy, and the change of leader costs more than it brings.
func (o *Owner) leaveIfSlow(began time.Time) {
	if o.config.Slowness == nil || o.config.HasSuccessor == nil || o.config.Clock.Since(began) < minSlowTerm {
		return
	}
	slowness := o.config.Slowness()
	if slowness < handoverSlowness || !o.config.HasSuccessor() {
		return
	}
	o.config.Log.Warn().Float64("Slowness", slowness).Msg("this VM has become slow; leaving the term to another daemon")
	o.standBack(fmt.Sprintf("this VM is %.1f times slower than it was", slowness))
}
