package spread

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

const (
	// currentScaleTimeout is the time within which a change must be in force in fleets of today's sizes.
	currentScaleTimeout = 5 * time.Second
	// targetScaleTimeout is the same for a fleet of the target size, and after the end of a partition.
	targetScaleTimeout = 20 * time.Second
)

// auditRecorder collects audit records in memory.
type auditRecorder struct {
	mu      sync.Mutex
	records []audit.Record
}

func (a *auditRecorder) Record(r audit.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.records = append(a.records, r)
}

// inBubble runs a test in a synctest bubble, on a started fleet with revision 1 in force everywhere.
func inBubble(t *testing.T, l layout, test func(t *testing.T, f *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, l)
		first := f.put(0, document(4, 1))
		f.startAll()
		f.awaitInForce(stampOf(&first), targetScaleTimeout, nil)
		test(t, f)
	})
}

func TestInForceWithinSecondsAtTodaysSizes(t *testing.T) {
	for _, l := range []layout{nawbaLayout(), swanLayout()} {
		t.Run(l.name, func(t *testing.T) {
			inBubble(t, l, func(t *testing.T, f *testFleet) {
				var longest time.Duration
				for i := range 8 {
					time.Sleep(time.Duration(i) * 317 * time.Millisecond)
					accepted := f.put(types.Revision(i+1), document(4, i+2))
					longest = max(longest, f.awaitInForce(stampOf(&accepted), currentScaleTimeout, nil))
				}
				t.Logf("longest time to be in force on 8 VMs: %s", longest)
			})
		})
	}
}

func TestRateOfTheTarget(t *testing.T) {
	const changes, interval = 5, 78 * time.Second
	inBubble(t, targetLayout(), func(t *testing.T, f *testFleet) {
		start, calls := f.clock.Now(), f.sumCounter("Store.", meter.Calls)
		crossed, bytes := f.sumCounter("Peer.", meter.CrossedBytes), f.sumCounter("Peer.", meter.SentBytes)
		var longest time.Duration
		for i := range changes {
			accepted := f.put(types.Revision(i+1), document(270, i+2))
			longest = max(longest, f.awaitInForce(stampOf(&accepted), targetScaleTimeout, nil))
			time.Sleep(interval)
		}
		hours := f.clock.Since(start).Hours()
		calls, crossed = f.sumCounter("Store.", meter.Calls)-calls, f.sumCounter("Peer.", meter.CrossedBytes)-crossed
		bytes = f.sumCounter("Peer.", meter.SentBytes) - bytes
		t.Logf("longest %s; store calls %.2f a second; paid link %.0f bytes a day; %.0f bytes a second sent by one daemon",
			longest, float64(calls)/hours/3600, float64(crossed)/hours*24, float64(bytes)/hours/3600/24)
		if perSecond := float64(calls) / hours / 3600; perSecond > 20 {
			t.Errorf("%.1f store calls a second exceed 1%% of the store's reads", perSecond)
		}
		const budget = 14 << 10
		if perDaemon := float64(bytes) / hours / 3600 / 24; perDaemon > budget {
			t.Errorf("%.0f bytes a second exceed the budget of a daemon for control traffic", perDaemon)
		}
	})
}

func TestBurstOfChangesEndsInTheLast(t *testing.T) {
	inBubble(t, targetLayout(), func(t *testing.T, f *testFleet) {
		accepted := f.put(1, document(4, 2))
		for i := range 10 {
			time.Sleep(30 * time.Millisecond)
			accepted = f.put(accepted.Revision, document(4, i+3))
		}
		f.awaitInForce(stampOf(&accepted), targetScaleTimeout, nil)
	})
}

func TestPartitionedRegionCatchesUpAfterThePartition(t *testing.T) {
	for _, l := range []layout{nawbaLayout(), swanLayout(), targetLayout()} {
		t.Run(l.name, func(t *testing.T) {
			inBubble(t, l, func(t *testing.T, f *testFleet) {
				storeRegion, remoteRegion := l.sites[0].site.Region, l.sites[len(l.sites)-1].site.Region
				f.setRegionPartitioned(remoteRegion, true)
				accepted := f.put(1, document(4, 2))
				f.awaitInForce(stampOf(&accepted), targetScaleTimeout, func(p peer.Target) bool { return p.Site.Region == storeRegion })
				time.Sleep(3 * time.Minute)
				accepted = f.put(2, document(4, 3))
				time.Sleep(time.Minute)
				f.setRegionPartitioned(remoteRegion, false)
				t.Logf("in force %s after the end of the partition", f.awaitInForce(stampOf(&accepted), targetScaleTimeout, nil))
			})
		})
	}
}

// TestPartitionedDataCentre partitions one data centre from all others and from the store: in each region the gateway,
// and one that is not. The others must get a change meanwhile, and the partitioned one after the end of the partition.
func TestPartitionedDataCentre(t *testing.T) {
	for _, isolated := range []types.DataCentre{"dc-0", "dc-1", "dc-4", "dc-5"} {
		t.Run(string(isolated), func(t *testing.T) {
			inBubble(t, targetLayout(), func(t *testing.T, f *testFleet) {
				for _, p := range f.layout.sites {
					if p.site.DataCentre != isolated {
						f.setPartitioned(isolated, p.site.DataCentre, true)
					}
				}
				f.memory.Faults.SetPartitioned(isolated, true)
				time.Sleep(time.Minute)
				accepted := f.put(1, document(4, 2))
				f.awaitInForce(stampOf(&accepted), targetScaleTimeout, func(p peer.Target) bool { return p.Site.DataCentre != isolated })
				for _, p := range f.layout.sites {
					f.setPartitioned(isolated, p.site.DataCentre, false)
				}
				f.memory.Faults.SetPartitioned(isolated, false)
				f.awaitInForce(stampOf(&accepted), targetScaleTimeout, nil)
			})
		})
	}
}

// TestGatewayPartitionedFromTheOtherRegionOnly guards against a gateway that can't reach the other region but still
// answers the data centres of its own: they must not mistake its record for the newest one.
func TestGatewayPartitionedFromTheOtherRegionOnly(t *testing.T) {
	inBubble(t, targetLayout(), func(t *testing.T, f *testFleet) {
		for _, p := range f.layout.sites[:4] {
			f.setPartitioned("dc-4", p.site.DataCentre, true)
		}
		time.Sleep(time.Minute)
		accepted := f.put(1, document(4, 2))
		t.Logf("in force after %s", f.awaitInForce(stampOf(&accepted), targetScaleTimeout, nil))
	})
}

// TestDataCentrePartitionedFromTheStoreOnly partitions most data centres of the store's region from the store; they
// must get a change from the one that still reaches it.
func TestDataCentrePartitionedFromTheStoreOnly(t *testing.T) {
	inBubble(t, targetLayout(), func(t *testing.T, f *testFleet) {
		for _, dc := range []types.DataCentre{"dc-0", "dc-1", "dc-2"} {
			f.memory.Faults.SetPartitioned(dc, true)
		}
		time.Sleep(time.Minute)
		accepted := f.put(1, document(4, 2))
		t.Logf("in force after %s", f.awaitInForce(stampOf(&accepted), targetScaleTimeout, nil))
	})
}

// TestStoppedLeaders stops the leaders of all data centres. A change must come in force whether or not others replace
// them, and also while no data centre has a leader.
func TestStoppedLeaders(t *testing.T) {
	cases := []struct {
		name  string
		until time.Duration
	}{
		{"ReplacedAtOnce", 0},
		{"ReplacedAfterTenSeconds", 10 * time.Second},
		{"NeverReplaced", time.Hour},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, nawbaLayout(), func(t *testing.T, f *testFleet) {
				for _, p := range f.layout.sites {
					f.stopVM(vmID(p.site.DataCentre, 0))
					time.AfterFunc(c.until, func() { f.setLeader(p.site.DataCentre, vmID(p.site.DataCentre, 1)) })
				}
				accepted := f.put(1, document(4, 2))
				t.Logf("in force after %s", f.awaitInForce(stampOf(&accepted), targetScaleTimeout, f.isAlive))
			})
		})
	}
	t.Run("NoLeadAnywhere", func(t *testing.T) {
		inBubble(t, nawbaLayout(), func(t *testing.T, f *testFleet) {
			for _, p := range f.layout.sites {
				f.setLeader(p.site.DataCentre, "")
			}
			time.Sleep(time.Minute)
			accepted := f.put(1, document(4, 2))
			t.Logf("in force after %s", f.awaitInForce(stampOf(&accepted), targetScaleTimeout, nil))
		})
	})
}

func (f *testFleet) isAlive(p peer.Target) bool {
	select {
	case <-f.currentVMs()[p.VM].done:
		return false
	default:
		return true
	}
}

func TestVMThatStartsInAnOutageGetsTheDocumentFromItsPeers(t *testing.T) {
	for _, id := range []types.VMID{"ariana-2", "sousse-1", "sousse-0"} {
		t.Run(string(id), func(t *testing.T) {
			inBubble(t, nawbaLayout(), func(t *testing.T, f *testFleet) {
				accepted := f.put(1, document(4, 2))
				f.awaitInForce(stampOf(&accepted), targetScaleTimeout, nil)
				f.memory.Faults.SetDown(true)
				time.Sleep(10 * time.Minute)
				site := f.vms[id].target.Site
				f.stopVM(id)
				f.startVM(id, site)
				f.awaitInForce(stampOf(&accepted), currentScaleTimeout, nil)
			})
		})
	}
}

// TestPullsMakeUpForLostPushes drops all pushes and, between the changes, loses the answers to some calls. Pulls alone
// must bring each change in force.
func TestPullsMakeUpForLostPushes(t *testing.T) {
	for _, l := range []layout{nawbaLayout(), swanLayout(), targetLayout()} {
		t.Run(l.name, func(t *testing.T) {
			inBubble(t, l, func(t *testing.T, f *testFleet) {
				var longest time.Duration
				for i := range 4 {
					f.dropNextPushes(1000)
					accepted := f.put(types.Revision(i+1), document(4, i+2))
					longest = max(longest, f.awaitInForce(stampOf(&accepted), targetScaleTimeout, nil))
					f.dropNextPushes(0)
					f.network.LoseAnswers(10)
				}
				t.Logf("longest time to be in force without any push: %s", longest)
			})
		})
	}
}

// TestRestoredStoreDoesNotRevert guards against VMs that put an older document in force again because the store was
// restored to an older state.
func TestRestoredStoreDoesNotRevert(t *testing.T) {
	inBubble(t, nawbaLayout(), func(t *testing.T, f *testFleet) {
		second := f.put(1, document(4, 2))
		f.awaitInForce(stampOf(&second), currentScaleTimeout, nil)
		third := f.put(2, document(4, 3))
		f.awaitInForce(stampOf(&third), currentScaleTimeout, nil)
		time.Sleep(time.Second)
		f.replaceStore(second)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if behind := f.lagging(stampOf(&third), nil); len(behind) > 0 {
				t.Fatalf("%v reverted to an older record", behind)
			}
		}
		fourth := f.put(3, document(4, 4))
		f.awaitInForce(stampOf(&fourth), currentScaleTimeout, nil)
	})
}

func TestEditAfterARestorationComesInForce(t *testing.T) {
	inBubble(t, nawbaLayout(), func(t *testing.T, f *testFleet) {
		first := *f.vms["ariana-0"].spread.holder.record()
		f.put(1, document(4, 2))
		third := f.put(2, document(4, 3))
		f.awaitInForce(stampOf(&third), currentScaleTimeout, nil)
		f.memory.Faults.SetDown(true)
		time.Sleep(time.Minute)
		f.replaceStore(first)
		late := f.put(1, document(4, 40))
		time.Sleep(targetScaleTimeout)
		for id, v := range f.vms {
			record := v.spread.holder.record()
			if record.Digest != late.Digest || record.Revision <= third.Revision {
				t.Errorf("%s has revision %d, digest %x in force, not the late edit", id, record.Revision, uint64(record.Digest))
			}
		}
	})
}
