package fitter

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// Sizes of the target.
const (
	TargetWorkers       = 670
	TargetAccelerators  = 970
	TargetJobsPerDay    = 5100
	TargetStartsPerSec  = 90
	TargetTasks         = 2900
	TargetServiceTasks  = TargetTasks / 5
	TargetTeams         = 270
	TargetRegions       = 2
	TargetDataCentres   = 8
	TargetChangesPerDay = 1100
	// EntriesPerDataCentre is how many entry VMs a data centre is taken to have.
	EntriesPerDataCentre = 3
)

// Limits of the target: for each daemon, and for the platform's store as a whole.
const (
	LimitCoreShare   = 0.01
	LimitMemory      = 64 << 20
	LimitControl     = 14 << 10
	LimitStoreWrites = 300
	LimitStoreReads  = 2000
	LimitInForce     = 20 * time.Second
	LimitUrgent      = 6300 * time.Millisecond
)

// Sizes of one lead at the target, with data centres of equal size.
const (
	LeadWorkers = float64(TargetWorkers) / TargetDataCentres
	LeadTasks   = float64(TargetTasks) / TargetDataCentres
	LeadStarts  = float64(TargetStartsPerSec) / TargetDataCentres
)

const secondsPerDay = 86400

// workerCapacity is what a worker of the fits has.
var workerCapacity = types.Resources{Cores: 64 * types.Core, Memory: 256 * types.GiB, Accelerators: 2}
