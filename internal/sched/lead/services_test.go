package lead

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
)

// launcher gives every runner an endpoint.
type launcher struct{}

// Launch returns an endpoint that names the attempt.
func (launcher) Launch(id types.AttemptID, _ types.Service) (types.Address, error) {
	return types.Address("runner:" + string(id)), nil
}

// Halt does nothing.
func (launcher) Halt(types.AttemptID) {}

func serviceRig(t *testing.T, workers int) *rig {
	r := newRig(t, 0)
	for i := range workers {
		id := r.addWorker(testSite, i)
		r.workers[id] = worker.NewMemory(r.clock, r.vms[id], launcher{})
	}
	r.addLead(testSite, "e1")
	r.addLead(testSite, "e2")
	r.until(2*time.Second, "a lead", r.hasLead)
	return r
}

// desk sets the document's only service.
func (r *rig) desk(count, floor int, payload string) {
	r.doc.Services = []envdoc.ServiceEntry{{
		Name: "booking-desk", Team: testTeam, Class: types.ClassNormal, Slots: 8, Connections: 64,
		Sites: []envdoc.SiteCount{{DataCentre: testSite, Count: count, Floor: floor}},
		Task: types.TaskSpec{
			Resources: types.Resources{Cores: types.Core, Memory: types.GiB}, Idempotent: true, Payload: payload,
		},
	}}
	r.rev++
}

// open returns how many upstreams take new requests.
func (r *rig) open() int {
	n := 0
	if m := r.lead(); m != nil {
		for _, u := range m.Upstreams() {
			if !u.Leaving {
				n++
			}
		}
	}
	return n
}

func (r *rig) wantOpen(count int) {
	r.t.Helper()
	r.until(time.Minute, "the service's count", func() bool { return r.open() == count })
}

func TestServiceFollowsItsCount(t *testing.T) {
	r := serviceRig(t, 3)
	for _, count := range []int{3, 5, 2, 4} {
		r.desk(count, 1, "v1")
		r.wantOpen(count)
	}
	r.doc.Services = nil
	r.rev++
	r.wantOpen(0)
	r.until(time.Minute, "the runners to end", func() bool { return len(r.lead().Upstreams()) == 0 })
	r.desk(2, 1, "v1")
	r.wantOpen(2)
}

func TestRollOutKeepsTheFloor(t *testing.T) {
	for name, workers := range map[string]int{"with room to spare": 3, "without room": 1} {
		t.Run(name, func(t *testing.T) {
			r := serviceRig(t, workers)
			r.desk(4, 3, "v1")
			r.wantOpen(4)
			r.desk(4, 3, "v2")
			r.until(5*time.Minute, "the new version on all runners", func() bool {
				if n := r.open(); n < 3 {
					t.Fatalf("%d runners are open, the floor is 3", n)
				}
				return r.running("v2") == 4 && r.running("v1") == 0
			})
		})
	}
}

// running counts the running tasks with the payload.
func (r *rig) running(payload string) int {
	n := 0
	for _, j := range r.lead().state.Jobs {
		if j.Spec.Task.Payload == payload {
			n += j.Counts.Running
		}
	}
	return n
}

func TestServiceOutlivesItsLead(t *testing.T) {
	r := serviceRig(t, 3)
	r.desk(4, 2, "v1")
	r.wantOpen(4)
	before := r.lead().Upstreams()
	r.lead().dead = true
	r.until(10*time.Second, "a lead", r.hasLead)
	r.wantOpen(4)
	for i, u := range r.lead().Upstreams() {
		if u.ID != before[i].ID {
			t.Fatalf("runner %s was replaced by %s", before[i].ID, u.ID)
		}
	}
}

func TestLeavingWorkerIsDrained(t *testing.T) {
	r := serviceRig(t, 2)
	r.desk(4, 2, "v1")
	r.wantOpen(4)
	leaving := r.lead().Upstreams()[0].VM
	vm := r.vms[leaving]
	vm.State = types.VMLeaving
	r.list.Set(vm)
	r.until(3*time.Second, "its upstreams to be marked", func() bool {
		for _, u := range r.lead().Upstreams() {
			if u.VM == leaving && !u.Leaving {
				return false
			}
		}
		return true
	})
	r.until(time.Minute, "its tasks to run elsewhere", func() bool {
		return r.open() == 4 && len(r.lead().state.Workers[leaving].Attempts) == 0
	})
}

func TestInterimLeadShowsUpstreams(t *testing.T) {
	r := serviceRig(t, 3)
	r.desk(4, 2, "v1")
	r.wantOpen(4)
	r.store.Faults.SetDown(true)
	r.run(2 * time.Second)
	r.lead().dead = true
	r.until(10*time.Second, "an interim lead", func() bool { return len(r.inRole(roleInterim)) == 1 })
	r.until(2*time.Second, "its upstreams", func() bool { return len(r.inRole(roleInterim)[0].Upstreams()) == 4 })
}

// TestReplacementsRunWhileTheOldDrain has a worker leave and wants the count back before its runners end.
func TestReplacementsRunWhileTheOldDrain(t *testing.T) {
	r := serviceRig(t, 3)
	r.desk(4, 2, "v1")
	r.wantOpen(4)
	leaving := r.lead().Upstreams()[0].VM
	vm := r.vms[leaving]
	vm.State = types.VMLeaving
	r.list.Set(vm)
	before := len(r.workers[leaving].Record())
	r.until(5*time.Second, "the worker's runners to be marked", func() bool { return r.open() < 4 })
	r.until(5*time.Second, "replacements", func() bool { return r.open() == 4 })
	for _, run := range r.workers[leaving].Record()[:before] {
		if !run.End.IsZero() {
			t.Fatalf("%s ended before its replacement ran", run.Attempt)
		}
	}
	r.until(time.Minute, "the worker to be empty", func() bool { return len(r.lead().state.Workers[leaving].Attempts) == 0 })
	r.run(5 * time.Second)
	r.wantOpen(4)
}
