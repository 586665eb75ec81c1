package lead

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
)

// launcher assigns an endpoint to every runner.
type launcher struct{}

// Launch returns an endpoint that contains the attempt.
func (launcher) Launch(id types.AttemptID, _ types.Service) (types.Address, error) {
	return types.Address("runner:" + string(id)), nil
}

// Halt does nothing.
func (launcher) Halt(types.AttemptID) {}

func newServiceFixture(t *testing.T, workers int) *fixture {
	f := newFixture(t, 0)
	for i := range workers {
		id := f.addWorker(testDataCentre, i)
		f.workers[id] = worker.NewMemory(f.clock, f.vms[id], launcher{})
	}
	f.addDaemon(testDataCentre, "e1")
	f.addDaemon(testDataCentre, "e2")
	f.waitUntil(2*time.Second, "a leader", f.hasLeader)
	return f
}

// setService makes a service the only one of the document, under a new revision.
func (f *fixture) setService(count, floor int, payload string) {
	f.doc.Services = []envdoc.ServiceEntry{{
		Name: "booking-desk", Team: testTeam, Class: types.ClassNormal, Slots: 8, Connections: 64,
		Sites: []envdoc.SiteCount{{DataCentre: testDataCentre, Count: count, Floor: floor}},
		Task: types.TaskSpec{
			Resources: types.Resources{Cores: types.Core, Memory: types.GiB}, Idempotent: true, Payload: payload,
		},
	}}
	f.rev++
}

// openUpstreams returns the number of upstreams that accept new requests.
func (f *fixture) openUpstreams() int {
	n := 0
	if m := f.leader(); m != nil {
		for _, u := range m.Upstreams() {
			if !u.Leaving {
				n++
			}
		}
	}
	return n
}

func (f *fixture) wantOpenUpstreams(count int) {
	f.t.Helper()
	f.waitUntil(time.Minute, "as many open upstreams as the service's count", func() bool { return f.openUpstreams() == count })
}

func TestServiceFollowsItsCount(t *testing.T) {
	f := newServiceFixture(t, 3)
	for _, count := range []int{3, 5, 2, 4} {
		f.setService(count, 1, "v1")
		f.wantOpenUpstreams(count)
	}
	f.doc.Services = nil
	f.rev++
	f.wantOpenUpstreams(0)
	f.waitUntil(time.Minute, "the runners to end", func() bool { return len(f.leader().Upstreams()) == 0 })
	f.setService(2, 1, "v1")
	f.wantOpenUpstreams(2)
}

func TestRollOutKeepsTheFloor(t *testing.T) {
	for name, workers := range map[string]int{"with free capacity": 3, "without free capacity": 1} {
		t.Run(name, func(t *testing.T) {
			f := newServiceFixture(t, workers)
			f.setService(4, 3, "v1")
			f.wantOpenUpstreams(4)
			f.setService(4, 3, "v2")
			f.waitUntil(5*time.Minute, "the new version on all runners", func() bool {
				if n := f.openUpstreams(); n < 3 {
					t.Fatalf("%d runners are open, the floor is 3", n)
				}
				return f.runningTasks("v2") == 4 && f.runningTasks("v1") == 0
			})
		})
	}
}

// runningTasks returns the number of running tasks with the payload.
func (f *fixture) runningTasks(payload string) int {
	n := 0
	for _, j := range f.leader().state.Jobs {
		if j.Spec.Task.Payload == payload {
			n += j.Counts.Running
		}
	}
	return n
}

func TestServiceOutlivesItsLeader(t *testing.T) {
	f := newServiceFixture(t, 3)
	f.setService(4, 2, "v1")
	f.wantOpenUpstreams(4)
	before := f.leader().Upstreams()
	f.leader().dead = true
	f.waitUntil(10*time.Second, "a leader", f.hasLeader)
	f.wantOpenUpstreams(4)
	for i, u := range f.leader().Upstreams() {
		if u.ID != before[i].ID {
			t.Fatalf("runner %s was replaced by %s", before[i].ID, u.ID)
		}
	}
}

func TestLeavingWorkerIsDrained(t *testing.T) {
	f := newServiceFixture(t, 2)
	f.setService(4, 2, "v1")
	f.wantOpenUpstreams(4)
	leaving := f.leader().Upstreams()[0].VM
	vm := f.vms[leaving]
	vm.State = types.VMLeaving
	f.list.Set(vm)
	f.waitUntil(3*time.Second, "the upstreams of the leaving worker to be marked as leaving", func() bool {
		for _, u := range f.leader().Upstreams() {
			if u.VM == leaving && !u.Leaving {
				return false
			}
		}
		return true
	})
	f.waitUntil(time.Minute, "its tasks to run elsewhere", func() bool {
		return f.openUpstreams() == 4 && len(f.leader().state.Workers[leaving].Attempts) == 0
	})
}

func TestInterimLeaderShowsUpstreams(t *testing.T) {
	f := newServiceFixture(t, 3)
	f.setService(4, 2, "v1")
	f.wantOpenUpstreams(4)
	f.store.Faults.SetDown(true)
	f.run(2 * time.Second)
	f.leader().dead = true
	f.waitUntil(10*time.Second, "an interim leader", func() bool { return len(f.inRole(roleInterim)) == 1 })
	f.waitUntil(2*time.Second, "the interim leader to show the 4 upstreams", func() bool { return len(f.inRole(roleInterim)[0].Upstreams()) == 4 })
}

// TestReplacementsRunWhileTheOldDrain guards against runners of a leaving worker that end before their
// replacements run, so that the service falls below its count for the whole drain.
func TestReplacementsRunWhileTheOldDrain(t *testing.T) {
	f := newServiceFixture(t, 3)
	f.setService(4, 2, "v1")
	f.wantOpenUpstreams(4)
	leaving := f.leader().Upstreams()[0].VM
	vm := f.vms[leaving]
	vm.State = types.VMLeaving
	f.list.Set(vm)
	attemptsBefore := len(f.workers[leaving].Record())
	f.waitUntil(5*time.Second, "the worker's runners to be marked", func() bool { return f.openUpstreams() < 4 })
	f.waitUntil(5*time.Second, "4 open upstreams, replacements included", func() bool { return f.openUpstreams() == 4 })
	for _, run := range f.workers[leaving].Record()[:attemptsBefore] {
		if !run.End.IsZero() {
			t.Fatalf("%s ended before its replacement ran", run.Attempt)
		}
	}
	f.waitUntil(time.Minute, "the worker to be empty", func() bool { return len(f.leader().state.Workers[leaving].Attempts) == 0 })
	// The count holds after the drain, too.
	f.run(5 * time.Second)
	f.wantOpenUpstreams(4)
}
