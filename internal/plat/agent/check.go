package agent

import (
	"net/netip"
	"strings"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

const (
	// maxBoot is the last millisecond of the year 9999. A runner is replaced by any later boot, so one that lies far ahead would
	// keep its true boots out of use.
	maxBoot specs.Boot = 253_402_300_799_999
	// maxRemaining is the longest time that a draining runner may announce.
	maxRemaining = 365 * 24 * time.Hour
	// firstPrintable and lastPrintable bound the characters of an id, which is sent in a header.
	firstPrintable = '!'
	lastPrintable  = '~'
)

// maxCapacity is the most that one runner may have of each resource. The sum over a large fleet stays far below an overflow.
var maxCapacity = types.Resources{Cores: 1_000_000 * types.Core, Memory: 1_000_000 * types.GiB, Accelerators: 1_000_000}

// Check returns an error of kind Invalid unless the entry names a runner that can be called and counted. Anyone may have written it.
func (r *Runner) Check() error {
	if r.ID == "" || strings.ContainsFunc(string(r.ID), isNotPrintable) {
		return errs.New(errs.Invalid, "id %q is empty or has characters that are not printable", r.ID)
	}
	address, err := netip.ParseAddrPort(string(r.Address))
	if err != nil || address.Port() == 0 {
		return errs.New(errs.Invalid, "address %q is not an IP address with a port", r.Address)
	}
	if r.Boot < 0 || r.Boot > maxBoot {
		return errs.New(errs.Invalid, "boot %d is out of range", r.Boot)
	}
	if r.Remaining < 0 || r.Remaining > maxRemaining {
		return errs.New(errs.Invalid, "remaining time %s is out of range", r.Remaining)
	}
	if err := r.Capacity.Check(); err != nil {
		return err
	}
	if !r.Capacity.Fits(maxCapacity) {
		return errs.New(errs.Invalid, "capacity exceeds what one runner may have: %s", r.Capacity)
	}
	return nil
}

func isNotPrintable(c rune) bool {
	return c < firstPrintable || c > lastPrintable
}
