package fitter

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// Sizes of the design target.
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
	// EntriesPerDataCentre is the assumed number of entry VMs in a data centre.
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

// Sizes of one leader at the target, if all data centres have equal size.
const (
	LeaderWorkers = float64(TargetWorkers) / TargetDataCentres
	LeaderTasks   = float64(TargetTasks) / TargetDataCentres
	LeaderStarts  = float64(TargetStartsPerSec) / TargetDataCentres
)

const secondsPerDay = 86400

// workerCapacity is the capacity of a worker in the measurements.
var workerCapacity = types.Resources{Cores: 64 * types.Core, Memory: 256 * types.GiB, Accelerators: 2}
