package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// The call rates that the platform's store offers, the share of them that steady operation may use, and the size
// of the current deployment.
const (
	storeWritesPerSecond = 300
	storeReadsPerSecond  = 2000
	steadyShare          = 0.05

	currentWorkers     = 50
	currentDataCentres = 3
	currentEntries     = 8

	// urgentStartTimeout is the maximum time that urgent work may wait for its start.
	urgentStartTimeout = 6300 * time.Millisecond
)

// storeCalls returns the number of writes and reads of the store so far; grants and renewals of leases count as
// writes.
func (f *fixture) storeCalls() (writes, reads int64) {
	for _, kind := range []meter.Kind{store.KindPut, store.KindDelete, store.KindGrant, store.KindRenew} {
		writes += f.meter.Get(kind, meter.Calls)
	}
	for _, kind := range []meter.Kind{store.KindGet, store.KindList, store.KindWatch} {
		reads += f.meter.Get(kind, meter.Calls)
	}
	return writes, reads
}

func TestSteadyStoreCalls(t *testing.T) {
	f := newFixture(t, currentWorkers)
	for i := range currentEntries {
		f.addDaemon(testDataCentre, fmt.Sprintf("e%d", i))
	}
	f.waitUntil(2*time.Second, "a leader", f.hasLeader)
	f.accept(f.job("running", func(j *types.Job) {
		j.Batch.Count = currentWorkers
		j.Task.RunTime = time.Hour
	}))
	f.run(5 * time.Second)
	const measuredSeconds = 60
	w0, r0 := f.storeCalls()
	puts := f.writes()
	f.run(measuredSeconds * time.Second)
	w1, r1 := f.storeCalls()
	if n := f.writes() - puts; n > 0 {
		t.Fatalf("idle ticks wrote %d times", n)
	}
	writes := float64(w1-w0) / measuredSeconds * currentDataCentres
	reads := float64(r1-r0) / measuredSeconds * currentDataCentres
	t.Logf("steady: %.2f writes and %.2f reads a second over %d data centres", writes, reads, currentDataCentres)
	if writes > steadyShare*storeWritesPerSecond || reads > steadyShare*storeReadsPerSecond {
		t.Fatalf("%.2f writes and %.2f reads a second are over a twentieth of the store's rates", writes, reads)
	}
}

func TestUrgentWorkStartsInTimeThroughALeaderFailure(t *testing.T) {
	for offset := range 8 {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			f := newFixture(t, 84)
			f.addDaemon(testDataCentre, "e1")
			f.addDaemon(testDataCentre, "e2")
			f.addDaemon(testDataCentre, "e3")
			f.waitUntil(2*time.Second, "a leader", f.hasLeader)
			f.run(time.Duration(offset) * tickInterval)
			// One unreachable worker must not delay the others.
			f.workers["carthage-w00"].Faults.SetDown(true)
			urgent := f.job("urgent", func(j *types.Job) { j.Class = types.ClassUrgent })
			f.accept(urgent)
			f.leader().dead = true
			waited := f.waitUntil(urgentStartTimeout, "the start of urgent work", func() bool {
				for _, w := range f.workers {
					if len(w.Record()) > 0 {
						return true
					}
				}
				return false
			})
			t.Logf("started after %s", waited)
		})
	}
}

// TestCostOfAPlacement starts 12 tasks a second in a data centre of the target size. It submits more jobs than
// the target has: 5,100 a day are one every two minutes in each of 8 data centres.
func TestCostOfAPlacement(t *testing.T) {
	const (
		perSecond   = 12
		seconds     = 120
		jobInterval = 5
		// maxBytes is the limit of the journal's writes per second: half of the 14 KB that a daemon may spend a
		// second.
		maxBytes = 7 << 10
	)
	f := newFixture(t, 84)
	m := f.addDaemon(testDataCentre, "e1")
	f.waitUntil(2*time.Second, "a leader", f.hasLeader)
	f.run(time.Second)
	sent := f.meter.Get(store.KindPut, meter.SentBytes)
	puts := f.writes()
	for second := range seconds {
		if second%jobInterval == 0 {
			f.submit(m, f.job(fmt.Sprint("p", second), func(j *types.Job) {
				j.ID = types.JobID(types.Mint(testDataCentre, m.epoch).String())
				j.Batch.Count = perSecond * jobInterval
				j.Task.RunTime = 10 * time.Second
			}))
		}
		f.run(time.Second)
	}
	bytes := float64(f.meter.Get(store.KindPut, meter.SentBytes) - sent)
	calls := float64(f.writes() - puts)
	const placements = perSecond * seconds
	t.Logf("%.0f bytes and %.2f writes per placement, %.1f KB and %.2f writes a second",
		bytes/placements, calls/placements, bytes/seconds/1024, calls/seconds)
	if bytes/seconds > maxBytes {
		t.Fatalf("the journal takes %.0f bytes a second", bytes/seconds)
	}
	if calls/seconds > float64(time.Second/tickInterval) {
		t.Fatalf("%.2f writes a second are more than one a tick", calls/seconds)
	}
}
