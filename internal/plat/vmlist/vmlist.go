// Package vmlist is a client of the platform's list of live and leaving VMs, which shows changes only after some
// seconds. It also contains an in-memory list, which is the stand-in for the service.
package vmlist

import (
	"context"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

// KindList is the kind under which calls are counted.
const KindList meter.Kind = "VMList.List"

type (
	// Snapshot is the list of VMs as it was some seconds ago.
	Snapshot struct {
		VMs []types.VM `json:"VMs"`
		// Version changes whenever the list changes; zero means that the list has no version.
		Version uint64 `json:"Version,omitempty"`
	}

	// Source is the list of VMs.
	Source interface {
		// List returns the list. Errors are of kind Unavailable, or Invalid if a VM of the list is invalid.
		List(ctx context.Context) (Snapshot, error)
	}
)

// Check returns an error if a VM of the list is invalid.
func (s *Snapshot) Check() error {
	for _, vm := range s.VMs {
		if err := vm.Check(); err != nil {
			return err
		}
	}
	return nil
}
