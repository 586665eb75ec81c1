package types

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

// Roles of a VM.
const (
	RoleEntry  VMRole = "Entry"
	RoleWorker VMRole = "Worker"
)

// States of a VM in the platform's list.
const (
	VMLive    VMState = "Live"
	VMLeaving VMState = "Leaving"
)

type (
	// VMRole is the purpose of a VM.
	VMRole string
	// VMState is the state of a VM in the platform's list.
	VMState string
	// Address is an IP address and port.
	Address string

	// Site is the location of a VM.
	Site struct {
		Region     Region     `json:"Region"`
		DataCentre DataCentre `json:"DataCentre"`
		Rack       Rack       `json:"Rack,omitempty"`
	}

	// VM is one entry of the platform's list of VMs.
	VM struct {
		ID       VMID      `json:"ID"`
		Role     VMRole    `json:"Role"`
		State    VMState   `json:"State"`
		Site     Site      `json:"Site"`
		Address  Address   `json:"Address"`
		Capacity Resources `json:"Capacity"`
	}
)

// Check returns an error if a field of the VM is missing or invalid.
func (v VM) Check() error {
	if v.ID == "" || v.Address == "" || v.Site.DataCentre == "" || v.Site.Region == "" {
		return errs.New(errs.Invalid, "VM %q needs ID, Address, DataCentre and Region", v.ID)
	}
	switch v.Role {
	case RoleEntry, RoleWorker:
	default:
		return errs.New(errs.Invalid, "VM %q has unknown role %q", v.ID, v.Role)
	}
	switch v.State {
	case VMLive, VMLeaving:
	default:
		return errs.New(errs.Invalid, "VM %q has unknown state %q", v.ID, v.State)
	}
	return v.Capacity.Check()
}
