package rates

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

const org specs.OrganisationName = "org"

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func newRates(weight float64) *Rates {
	r := New(Tolerance{})
	r.setWeight(weight, start)
	return r
}

func (r *Rates) setWeight(weight float64, now time.Time) {
	r.SetWeights(map[specs.OrganisationName]float64{org: weight}, now)
}

// submit submits count jobs and returns how many of them are within the weight.
func (r *Rates) submit(count int, now time.Time) int {
	within := 0
	for range count {
		if r.Within(org, now) {
			r.Take(org, now)
			within++
		}
	}
	return within
}

func wantWithin(t *testing.T, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("%d jobs are within the weight, want %d", got, want)
	}
}

func TestBucket(t *testing.T) {
	// An organisation that submits more than its weight for a long time would otherwise keep the full claim.
	t.Run("RateIsTheWeight", func(t *testing.T) {
		r := newRates(10)
		r.submit(100, start)
		within := 0
		for i := range 1000 {
			within += r.submit(1, at(float64(i+1)/100))
		}
		wantWithin(t, within, 100)
	})
	// An organisation that was idle would otherwise send any number of jobs at once with the full claim.
	t.Run("CapacityIsTwoSeconds", func(t *testing.T) {
		wantWithin(t, newRates(10).submit(100, at(3600)), 20)
	})
	// Two seconds of a small weight are less than one job: its organisation would never be within its weight.
	t.Run("SmallWeightsHoldSeveralJobs", func(t *testing.T) {
		wantWithin(t, newRates(0.1).submit(100, start), minCapacity)
	})
	// A token that is only looked at must stay for the next job.
	t.Run("WithinTakesNoToken", func(t *testing.T) {
		r := newRates(10)
		for range 100 {
			r.Within(org, start)
		}
		wantWithin(t, r.submit(100, start), 20)
	})
	// Jobs of a removed organisation, and of one that the catalog never named, would otherwise keep the full claim.
	t.Run("NoWeightMakesEveryJobSurplus", func(t *testing.T) {
		wantWithin(t, New(Tolerance{}).submit(10, start), 0)
		wantWithin(t, newRates(0).submit(10, start), 0)
		r := newRates(10)
		r.SetWeights(nil, start)
		wantWithin(t, r.submit(10, start), 0)
	})
	// One organisation must not use up the tokens of another.
	t.Run("OrganisationsAreApart", func(t *testing.T) {
		r := New(Tolerance{})
		r.SetWeights(map[specs.OrganisationName]float64{org: 10, "other": 10}, start)
		for range 100 {
			r.Take("other", start)
		}
		wantWithin(t, r.submit(100, start), 20)
	})
	// Extreme weights must not overflow times or counts.
	t.Run("ExtremeWeights", func(t *testing.T) {
		r := newRates(1e-300)
		wantWithin(t, r.submit(10, start), minCapacity)
		if slot, ok := r.Slot(org, start, at(1)); !ok || slot.Before(at(1)) || slot.After(at(1+2*slotSpan.Seconds())) {
			t.Errorf("slot at %s, %t", slot, ok)
		}
		r.setWeight(math.MaxFloat64, at(1))
		wantWithin(t, r.submit(10, at(2)), 10)
	})
}

// Random clusters of an organisation that sends about half of its weight must hardly ever count as surplus. With a
// capacity of two seconds alone a third of the jobs of the smallest one would.
func TestRandomClustersAreHardlyEverSurplus(t *testing.T) {
	const weightPerUsual, jobs, maxSurplus = 1.9, 200_000, 0.001
	for _, weight := range []float64{0.2, 1, 4, 20} {
		t.Run(fmt.Sprint(weight), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			r := newRates(weight)
			now, surplus := start, 0
			for range jobs {
				now = now.Add(time.Duration(random.ExpFloat64() * weightPerUsual / weight * float64(time.Second)))
				surplus += 1 - r.submit(1, now)
			}
			share := float64(surplus) / jobs
			t.Logf("weight %g: %.5f of the jobs are surplus", weight, share)
			if share > maxSurplus {
				t.Errorf("%.4f of the jobs are surplus, want at most %g", share, maxSurplus)
			}
		})
	}
}

func TestChangeOfWeight(t *testing.T) {
	// A raised weight that only takes effect as the bucket fills would make jobs surplus that are within it.
	t.Run("RaisedAtOnce", func(t *testing.T) {
		r := newRates(5)
		r.setWeight(50, start)
		wantWithin(t, r.submit(1000, start), 100)
		wantWithin(t, r.submit(1000, at(1)), 50)
	})
	// A lowered weight must not leave the tokens of the former one.
	t.Run("LoweredAtOnce", func(t *testing.T) {
		r := newRates(50)
		r.setWeight(5, start)
		wantWithin(t, r.submit(1000, start), 10)
		wantWithin(t, r.submit(1000, at(1)), 5)
	})
	t.Run("ToZeroAndBack", func(t *testing.T) {
		r := newRates(5)
		r.setWeight(0, start)
		wantWithin(t, r.submit(10, start), 0)
		r.setWeight(5, at(1))
		wantWithin(t, r.submit(1000, at(1)), 10)
	})
	// Catalogs that change a weight back and forth, or that only change other things, must bring no tokens.
	t.Run("ChangesBringNoTokens", func(t *testing.T) {
		r := newRates(5)
		r.submit(10, start)
		for range 20 {
			r.setWeight(50, start)
			r.setWeight(5, start)
			r.setWeight(5, start)
		}
		wantWithin(t, r.submit(1000, start), 0)
	})
	// Slots that were given at the former weight must not hold up those at a larger one.
	t.Run("SlotsFollow", func(t *testing.T) {
		r := newRates(1)
		r.submit(1000, start)
		for range 20 {
			r.Slot(org, start, start)
		}
		r.setWeight(10, start)
		if slot, _ := r.Slot(org, start, start); slot.After(at(2.1)) {
			t.Errorf("the next slot is after %s, want at most 2.1 s", slot.Sub(start))
		}
	})
}

func TestSlots(t *testing.T) {
	// Callers that are refused at the same time must not come back at the same time.
	t.Run("OneForEachCallerAtTheRateOfTheWeight", func(t *testing.T) {
		r := newRates(10)
		r.submit(1000, start)
		for i := range 100 {
			slot, ok := r.Slot(org, start, at(3))
			if want := at(3 + float64(i)/10); !ok || slot.Sub(want).Abs() > time.Microsecond {
				t.Fatalf("slot %d is after %s, want %s", i, slot.Sub(start), want.Sub(start))
			}
		}
	})
	// A retry time at which the bucket is still empty would send callers back for nothing.
	t.Run("CallerThatComesBackFindsAToken", func(t *testing.T) {
		r := newRates(0.7)
		r.submit(1000, start)
		var slots []time.Time
		for range 20 {
			slot, _ := r.Slot(org, start, at(0.1))
			slots = append(slots, slot)
		}
		for i, slot := range slots {
			if got := r.submit(1, slot.Add(time.Microsecond)); got != 1 {
				t.Errorf("the caller of slot %d finds no token", i)
			}
		}
	})
	// Slots of callers that gave up must not hold up later callers.
	t.Run("UnusedSlotsExpire", func(t *testing.T) {
		r := newRates(10)
		r.submit(1000, start)
		for range 100 {
			r.Slot(org, start, at(1))
		}
		r.submit(1000, at(60))
		if slot, _ := r.Slot(org, at(60), at(61)); !slot.Equal(at(61)) {
			t.Errorf("the slot is after %s, want 61 s", slot.Sub(start))
		}
	})
	// Callers that retry long before their slots take a new one each time.
	t.Run("ImpatientCallersDoNotPushSlotsBackForEver", func(t *testing.T) {
		r := newRates(1)
		r.submit(1000, start)
		for i := range 10_000 {
			now := at(float64(i) / 1000)
			if slot, _ := r.Slot(org, now, now.Add(time.Second)); slot.Sub(now) > time.Second+slotSpan {
				t.Fatalf("the caller should retry in %s", slot.Sub(now))
			}
		}
	})
	t.Run("NoneWithoutWeight", func(t *testing.T) {
		if _, ok := newRates(0).Slot(org, start, start); ok {
			t.Error("an organisation without a weight has a slot")
		}
	})
}

func TestReplay(t *testing.T) {
	acceptances := func(count int, each time.Time) []Acceptance {
		out := make([]Acceptance, count)
		for i := range out {
			out[i] = Acceptance{Organisation: org, At: each}
		}
		return out
	}
	// A new leader would otherwise give every organisation a full bucket again.
	t.Run("RecentJobsTakeTokens", func(t *testing.T) {
		r := newRates(10)
		r.Replay(acceptances(20, at(9)), at(10))
		wantWithin(t, r.submit(1000, at(10)), 10)
	})
	// Jobs that have run for long must not make new ones surplus.
	t.Run("OldJobsDoNot", func(t *testing.T) {
		r := newRates(10)
		r.Replay(acceptances(5000, at(0)), at(10))
		wantWithin(t, r.submit(1000, at(10)), 20)
	})
	// The clock of the former leader may be ahead: a bucket that was filled up to then would be filled for that time again.
	t.Run("JobsOfTheFutureCountAsNow", func(t *testing.T) {
		r := newRates(10)
		r.Replay(append(acceptances(20, at(15)), acceptances(10, at(17))...), at(10))
		wantWithin(t, r.submit(1000, at(10)), 0)
		wantWithin(t, r.submit(1000, at(11)), 10)
	})
	t.Run("OrganisationsWithoutWeightAreLeftOut", func(t *testing.T) {
		New(Tolerance{}).Replay(acceptances(3, start), start)
	})
}

// The platform says by how much a weight may be exceeded; jobs that it tolerates must not be refused as surplus.
func TestToleranceOfThePlatform(t *testing.T) {
	r := New(Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20})
	r.SetWeights(map[specs.OrganisationName]float64{"a": 30}, start)
	within := 0
	for range 400 {
		if r.Within("a", start) {
			within++
		}
		r.Take("a", start)
	}
	if want := 185; within != want {
		t.Errorf("%d jobs at once are within the weight, want %d", within, want)
	}
}
