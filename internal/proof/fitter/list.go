package fitter

import (
	"context"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/member"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/vmlist"
)

const (
	mechanismList = "`plat/vmlist`: a reader names the version that it has and gets the list only when it changed"
	// vmChangesPerDay is the number of changes of the VM list a day. Each VM that fails, is restarted or replaced counts
	// twice, since it leaves the list and comes back.
	vmChangesPerDay = 2 * (4 + 180)
	listedVMs       = TargetWorkers + TargetDataCentres*EntriesPerDataCentre
	// standbyListInterval is how often a daemon that is not the leader reads the list of workers.
	standbyListInterval = 5 * time.Second
)

func listMeasures() []Measure {
	return []Measure{
		{
			Role: RoleEntry, Duty: "list of VMs, unchanged", Budget: Control, Mechanism: mechanismList, Driver: "VMs listed",
			Sizes: []int{100, 200, 400}, AtTarget: listedVMs, Exact: true,
			Factor: 1/member.DefaultListInterval.Seconds() + 1/standbyListInterval.Seconds(),
			Run:    func(size int) (float64, error) { return listBytes(size, false) },
		},
		{
			Role: RoleEntry, Duty: "list of VMs, changed", Budget: Control, Mechanism: mechanismList, Driver: "VMs listed",
			Sizes: []int{100, 200, 400}, AtTarget: listedVMs, Exact: true, Factor: 2 * vmChangesPerDay / float64(secondsPerDay),
			Run: func(size int) (float64, error) { return listBytes(size, true) },
		},
	}
}

// listBytes returns the bytes sent and received by one reading of a list that the reader has read before. changed says
// whether the list has changed since.
func listBytes(size int, changed bool) (float64, error) {
	list := vmlist.NewMemory(clockwork.NewFakeClock(), regionOf(0), 0)
	calls := meter.Discard()
	reader := vmlist.NewHTTP(vmlist.HTTPConfig{
		Base: "http://list", Region: regionOf(0), From: siteOf(0).DataCentre, Meter: calls,
		Client: &http.Client{Transport: handlerTransport{"list": list.Handler()}},
	})
	for i := range size {
		list.Set(workerVM(0, i))
	}
	if _, err := reader.List(context.Background()); err != nil {
		return 0, err
	}
	if changed {
		vm := workerVM(0, 0)
		vm.State = types.VMLeaving
		list.Set(vm)
	}
	before := countBytes(calls)
	_, err := reader.List(context.Background())
	return countBytes(calls) - before, err
}

// countBytes returns the bytes sent and received by all calls.
func countBytes(calls *meter.Meter) float64 {
	return float64(calls.Total("", meter.SentBytes) + calls.Total("", meter.ReadBytes))
}
