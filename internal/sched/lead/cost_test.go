package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// What the platform's store gives, and the part of it that a steady cell may use.
const (
	storeWrites = 300
	storeReads  = 2000
	steadyShare = 0.05

	todayWorkers     = 50
	todayDataCentres = 3
	todayEntries     = 8

	// urgentWithin is the longest that urgent work may wait for its start.
	urgentWithin = 6300 * time.Millisecond
)

// storeCalls returns the writes and reads of the store so far; renewals of leases count as writes.
func (r *rig) storeCalls() (writes, reads int64) {
	for _, kind := range []meter.Kind{store.KindPut, store.KindDelete, store.KindGrant, store.KindRenew} {
		writes += r.meter.Get(kind, meter.Calls)
	}
	for _, kind := range []meter.Kind{store.KindGet, store.KindList, store.KindWatch} {
		reads += r.meter.Get(kind, meter.Calls)
	}
	return writes, reads
}

func TestSteadyStoreCalls(t *testing.T) {
	r := newRig(t, todayWorkers)
	for i := range todayEntries {
		r.addLead(testSite, fmt.Sprintf("e%d", i))
	}
	r.until(2*time.Second, "a lead", r.hasLead)
	r.accept(r.job("running", func(j *types.Job) {
		j.Batch.Count = todayWorkers
		j.Task.RunTime = time.Hour
	}))
	r.run(5 * time.Second)
	const minute = 60
	w0, r0 := r.storeCalls()
	puts := r.writes()
	r.run(minute * time.Second)
	w1, r1 := r.storeCalls()
	if n := r.writes() - puts; n > 0 {
		t.Fatalf("idle ticks wrote %d times", n)
	}
	writes := float64(w1-w0) / minute * todayDataCentres
	reads := float64(r1-r0) / minute * todayDataCentres
	t.Logf("steady: %.2f writes and %.2f reads a second over %d data centres", writes, reads, todayDataCentres)
	if writes > steadyShare*storeWrites || reads > steadyShare*storeReads {
		t.Fatalf("%.2f writes and %.2f reads a second are over a twentieth of the store's rates", writes, reads)
	}
}

func TestUrgentWorkStartsInTimeThroughALeadFailure(t *testing.T) {
	for offset := range 8 {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			r := newRig(t, 84)
			r.addLead(testSite, "e1")
			r.addLead(testSite, "e2")
			r.addLead(testSite, "e3")
			r.until(2*time.Second, "a lead", r.hasLead)
			r.run(time.Duration(offset) * tickPeriod)
			// One worker hangs, which must not hold the others up.
			r.workers["carthage-w00"].Faults.SetDown(true)
			urgent := r.job("urgent", func(j *types.Job) { j.Class = types.ClassUrgent })
			r.accept(urgent)
			r.lead().dead = true
			waited := r.until(urgentWithin, "the start of urgent work", func() bool {
				for _, w := range r.workers {
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

// TestCostOfAPlacement loads a data centre of the target with 12 starts a second, from more jobs than the
// target has: 5,100 a day are one every two minutes in each of 8 data centres.
func TestCostOfAPlacement(t *testing.T) {
	const (
		perSecond = 12
		seconds   = 120
		jobPeriod = 5
		// maxBytes leaves a lead's journal within half of the 14 KB that a daemon may spend a second.
		maxBytes = 7 << 10
	)
	r := newRig(t, 84)
	m := r.addLead(testSite, "e1")
	r.until(2*time.Second, "a lead", r.hasLead)
	r.run(time.Second)
	sent := r.meter.Get(store.KindPut, meter.SentBytes)
	puts := r.writes()
	for second := range seconds {
		if second%jobPeriod == 0 {
			r.submit(m, r.job(fmt.Sprint("p", second), func(j *types.Job) {
				j.ID = types.JobID(types.Mint(testSite, m.epoch).String())
				j.Batch.Count = perSecond * jobPeriod
				j.Task.RunTime = 10 * time.Second
			}))
		}
		r.run(time.Second)
	}
	bytes := float64(r.meter.Get(store.KindPut, meter.SentBytes) - sent)
	calls := float64(r.writes() - puts)
	const placements = perSecond * seconds
	t.Logf("%.0f bytes and %.2f writes per placement, %.1f KB and %.2f writes a second",
		bytes/placements, calls/placements, bytes/seconds/1024, calls/seconds)
	if bytes/seconds > maxBytes {
		t.Fatalf("the journal takes %.0f bytes a second", bytes/seconds)
	}
	if calls/seconds > float64(time.Second/tickPeriod) {
		t.Fatalf("%.2f writes a second are more than one a tick", calls/seconds)
	}
}
