package ledger

import (
	"context"
	"encoding/json"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

const (
	// HandoverKey holds the handover of the latest leader that has left one. Builds that do not know it ignore it.
	HandoverKey = dataPrefix + "Handover"
	// handoverLevel is the newest form of a handover that this build reads.
	handoverLevel Level = 1
	// maxHandoverLeases keeps a handover below the size of a value that the store takes.
	maxHandoverLeases = 4000
)

type (
	// RunnerLease bounds the leases on one boot of a runner.
	RunnerLease struct {
		Runner specs.RunnerID `json:"Runner"`
		Boot   specs.Boot     `json:"Boot"`
		// Remaining is the most that is left, on the runner's clock, of any lease that was ever asked for.
		Remaining time.Duration `json:"Remaining"`
	}

	// handover is what a leader that has sent its last order tells the next one. It names durations only, since the clocks of VMs differ.
	handover struct {
		Level  Level         `json:"Level"`
		Epoch  types.Epoch   `json:"Epoch"`
		Leases []RunnerLease `json:"Leases"`
	}
)

// HandOver writes the leases that are left when the writer's term ends. The writer must have sent its last start and renewal before the
// leases were measured. The write is conditional on the epoch of its writer, so a handover precedes the claim of the next leader. An error
// of kind Lost leaves it in doubt whether the handover was written; Fenced means that another leader has taken over.
func HandOver(ctx context.Context, c Config, leases []RunnerLease) error {
	leases = leases[:min(len(leases), maxHandoverLeases)]
	value, err := json.Marshal(handover{Level: handoverLevel, Epoch: c.Epoch, Leases: leases})
	if err != nil {
		return errs.New(errs.Internal, "encoding a handover: %v", err)
	}
	out, err := c.Store.Apply(ctx, store.Batch{
		Conditions: []store.Condition{{Key: EpochKey, Expect: c.EpochVersion}},
		Puts:       []store.Put{{Key: HandoverKey, Value: value}},
	})
	if err != nil {
		return err
	}
	if !out.Applied {
		return errs.New(errs.Fenced, "epoch %d was superseded by that of another leader", c.Epoch)
	}
	return nil
}

// FormerLeases returns the leases that the former leader has handed over. There are none if it has not handed over, or if any other daemon
// has claimed leadership between: it may have extended them.
func (l *Ledger) FormerLeases() []RunnerLease {
	if l.handover.Epoch == 0 || l.handover.Epoch+1 != l.config.Epoch {
		return nil
	}
	return l.handover.Leases
}

// decodeHandover decodes a handover. One of a form that this build does not know is an error.
func decodeHandover(value json.RawMessage) (handover, error) {
	var out handover
	if err := json.Unmarshal(value, &out); err != nil {
		return handover{}, err
	}
	if out.Level != handoverLevel {
		return handover{}, errs.New(errs.Invalid, "the handover has level %d, this build reads %d", out.Level, handoverLevel)
	}
	for _, lease := range out.Leases {
		if lease.Remaining < 0 {
			return handover{}, errs.New(errs.Invalid, "the handover has a lease of %s on runner %s", lease.Remaining, lease.Runner)
		}
	}
	return out, nil
}
