// Package vmlist reads the platform's lagging list of live and leaving VMs.
package vmlist

import (
	"context"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

// KindList is the kind under which calls are counted.
const KindList meter.Kind = "VMList.List"

type (
	// Snapshot is the list as it was some seconds ago.
	Snapshot struct {
		VMs []types.VM `json:"VMs"`
		// Version is the same as long as the list is.
		Version uint64 `json:"Version,omitempty"`
	}

	// Source reads the list. Errors are of kind Unavailable.
	Source interface {
		List(ctx context.Context) (Snapshot, error)
	}
)

// Check returns an error when a VM of the list is wrong.
func (s *Snapshot) Check() error {
	for _, vm := range s.VMs {
		if err := vm.Check(); err != nil {
			return err
		}
	}
	return nil
}
