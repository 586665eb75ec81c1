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
	// today is the time within which a change must be in force at today's sizes.
	today = 5 * time.Second
	// later is the same at the target, and after the end of a cut.
	later = 20 * time.Second
)

// kept keeps records for the tests.
type kept struct {
	mu      sync.Mutex
	records []audit.Record
}

func (k *kept) Record(r audit.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.records = append(k.records, r)
}

// inBubble runs a test on a started world with revision 1 in force everywhere.
func inBubble(t *testing.T, l layout, test func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, l)
		first := w.put(0, document(4, 1))
		w.startAll()
		w.await(stampOf(&first), later, nil)
		test(t, w)
	})
}

func TestInForceWithinSecondsAtTodaysSizes(t *testing.T) {
	for _, l := range []layout{nawba(), swan()} {
		t.Run(l.name, func(t *testing.T) {
			inBubble(t, l, func(t *testing.T, w *world) {
				var longest time.Duration
				for i := range 8 {
					time.Sleep(time.Duration(i) * 317 * time.Millisecond)
					accepted := w.put(types.Revision(i+1), document(4, i+2))
					longest = max(longest, w.await(stampOf(&accepted), today, nil))
				}
				t.Logf("longest time to be in force on 8 VMs: %s", longest)
			})
		})
	}
}

func TestRateOfTheTarget(t *testing.T) {
	const changes, every = 5, 78 * time.Second
	inBubble(t, target(), func(t *testing.T, w *world) {
		start, calls := w.clock.Now(), w.total("Store.", meter.Calls)
		crossed, bytes := w.total("Peer.", meter.CrossedBytes), w.total("Peer.", meter.SentBytes)
		var longest time.Duration
		for i := range changes {
			accepted := w.put(types.Revision(i+1), document(270, i+2))
			longest = max(longest, w.await(stampOf(&accepted), later, nil))
			time.Sleep(every)
		}
		hours := w.clock.Since(start).Hours()
		calls, crossed = w.total("Store.", meter.Calls)-calls, w.total("Peer.", meter.CrossedBytes)-crossed
		bytes = w.total("Peer.", meter.SentBytes) - bytes
		t.Logf("longest %s; store calls %.2f a second; paid link %.0f bytes a day; %.0f bytes a second sent by one daemon",
			longest, float64(calls)/hours/3600, float64(crossed)/hours*24, float64(bytes)/hours/3600/24)
		if perSecond := float64(calls) / hours / 3600; perSecond > 20 {
			t.Errorf("%.1f store calls a second is over 1%% of the store's reads", perSecond)
		}
		const budget = 14 << 10
		if perDaemon := float64(bytes) / hours / 3600 / 24; perDaemon > budget {
			t.Errorf("%.0f bytes a second are over the control budget of a daemon", perDaemon)
		}
	})
}

func TestBurstOfChangesEndsInTheLast(t *testing.T) {
	inBubble(t, target(), func(t *testing.T, w *world) {
		accepted := w.put(1, document(4, 2))
		for i := range 10 {
			time.Sleep(30 * time.Millisecond)
			accepted = w.put(accepted.Revision, document(4, i+3))
		}
		w.await(stampOf(&accepted), later, nil)
	})
}

func TestCutRegionFollowsAfterTheCut(t *testing.T) {
	for _, l := range []layout{nawba(), swan(), target()} {
		t.Run(l.name, func(t *testing.T) {
			inBubble(t, l, func(t *testing.T, w *world) {
				home, far := l.places[0].site.Region, l.places[len(l.places)-1].site.Region
				w.cutRegion(far, true)
				accepted := w.put(1, document(4, 2))
				w.await(stampOf(&accepted), later, func(p peer.Target) bool { return p.Site.Region == home })
				time.Sleep(3 * time.Minute)
				accepted = w.put(2, document(4, 3))
				time.Sleep(time.Minute)
				w.cutRegion(far, false)
				t.Logf("in force %s after the end of the cut", w.await(stampOf(&accepted), later, nil))
			})
		})
	}
}

// TestCutDataCentre cuts one data centre from the store and the other region: the one that feeds, the one that is
// fed, and one between.
func TestCutDataCentre(t *testing.T) {
	for _, cut := range []types.DataCentre{"dc-0", "dc-1", "dc-4", "dc-5"} {
		t.Run(string(cut), func(t *testing.T) {
			inBubble(t, target(), func(t *testing.T, w *world) {
				for _, p := range w.layout.places {
					if p.site.DataCentre != cut {
						w.cutOff(cut, p.site.DataCentre, true)
					}
				}
				w.memory.Faults.SetPartitioned(cut, true)
				time.Sleep(time.Minute)
				accepted := w.put(1, document(4, 2))
				w.await(stampOf(&accepted), later, func(p peer.Target) bool { return p.Site.DataCentre != cut })
				for _, p := range w.layout.places {
					w.cutOff(cut, p.site.DataCentre, false)
				}
				w.memory.Faults.SetPartitioned(cut, false)
				w.await(stampOf(&accepted), later, nil)
			})
		})
	}
}

// TestGatewayCutFromTheOtherRegionOnly leaves the gateway reachable by its siblings, which must not take its
// word for the newest.
func TestGatewayCutFromTheOtherRegionOnly(t *testing.T) {
	inBubble(t, target(), func(t *testing.T, w *world) {
		for _, p := range w.layout.places[:4] {
			w.cutOff("dc-4", p.site.DataCentre, true)
		}
		time.Sleep(time.Minute)
		accepted := w.put(1, document(4, 2))
		t.Logf("in force after %s", w.await(stampOf(&accepted), later, nil))
	})
}

func TestDataCentreCutFromTheStoreOnly(t *testing.T) {
	inBubble(t, target(), func(t *testing.T, w *world) {
		for _, dc := range []types.DataCentre{"dc-0", "dc-1", "dc-2"} {
			w.memory.Faults.SetPartitioned(dc, true)
		}
		time.Sleep(time.Minute)
		accepted := w.put(1, document(4, 2))
		t.Logf("in force after %s", w.await(stampOf(&accepted), later, nil))
	})
}

func TestDeadLeads(t *testing.T) {
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
			inBubble(t, nawba(), func(t *testing.T, w *world) {
				for _, p := range w.layout.places {
					w.kill(vmID(p.site.DataCentre, 0))
					time.AfterFunc(c.until, func() { w.setLead(p.site.DataCentre, vmID(p.site.DataCentre, 1)) })
				}
				accepted := w.put(1, document(4, 2))
				t.Logf("in force after %s", w.await(stampOf(&accepted), later, w.alive))
			})
		})
	}
	t.Run("NoLeadAnywhere", func(t *testing.T) {
		inBubble(t, nawba(), func(t *testing.T, w *world) {
			for _, p := range w.layout.places {
				w.setLead(p.site.DataCentre, "")
			}
			time.Sleep(time.Minute)
			accepted := w.put(1, document(4, 2))
			t.Logf("in force after %s", w.await(stampOf(&accepted), later, nil))
		})
	})
}

func (w *world) alive(p peer.Target) bool {
	select {
	case <-w.present()[p.VM].done:
		return false
	default:
		return true
	}
}

func TestVMThatStartsInAnOutageIsFedByItsPeers(t *testing.T) {
	for _, id := range []types.VMID{"ariana-2", "sousse-1", "sousse-0"} {
		t.Run(string(id), func(t *testing.T) {
			inBubble(t, nawba(), func(t *testing.T, w *world) {
				accepted := w.put(1, document(4, 2))
				w.await(stampOf(&accepted), later, nil)
				w.memory.Faults.SetDown(true)
				time.Sleep(10 * time.Minute)
				site := w.vms[id].target.Site
				w.kill(id)
				w.start(id, site)
				w.await(stampOf(&accepted), today, nil)
			})
		})
	}
}

func TestLostPushHeals(t *testing.T) {
	for _, l := range []layout{nawba(), swan(), target()} {
		t.Run(l.name, func(t *testing.T) {
			inBubble(t, l, func(t *testing.T, w *world) {
				var longest time.Duration
				for i := range 4 {
					w.loseNextPushes(1000)
					accepted := w.put(types.Revision(i+1), document(4, i+2))
					longest = max(longest, w.await(stampOf(&accepted), later, nil))
					w.loseNextPushes(0)
					w.network.LoseAnswers(10)
				}
				t.Logf("longest time to be in force without any push: %s", longest)
			})
		})
	}
}

func TestRestoredStoreDoesNotRevert(t *testing.T) {
	inBubble(t, nawba(), func(t *testing.T, w *world) {
		second := w.put(1, document(4, 2))
		w.await(stampOf(&second), today, nil)
		third := w.put(2, document(4, 3))
		w.await(stampOf(&third), today, nil)
		time.Sleep(time.Second)
		w.restore(second)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if behind := w.behind(stampOf(&third), nil); len(behind) > 0 {
				t.Fatalf("%v reverted", behind)
			}
		}
		fourth := w.put(3, document(4, 4))
		w.await(stampOf(&fourth), today, nil)
	})
}

func TestEditAfterARestorationComesInForce(t *testing.T) {
	inBubble(t, nawba(), func(t *testing.T, w *world) {
		first := *w.vms["ariana-0"].spread.held.record()
		w.put(1, document(4, 2))
		third := w.put(2, document(4, 3))
		w.await(stampOf(&third), today, nil)
		w.memory.Faults.SetDown(true)
		time.Sleep(time.Minute)
		w.restore(first)
		late := w.put(1, document(4, 40))
		time.Sleep(later)
		for id, v := range w.vms {
			record := v.spread.held.record()
			if record.Digest != late.Digest || record.Revision <= third.Revision {
				t.Errorf("%s has revision %d, digest %x", id, record.Revision, uint64(record.Digest))
			}
		}
	})
}
