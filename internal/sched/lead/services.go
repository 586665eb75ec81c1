package lead

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/core/wire"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/commit"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

const (
	// servicePeriod is how often services are compared with the document.
	servicePeriod = time.Second
	// crowdedAfter is how long a new task may wait until an old one makes room for it.
	crowdedAfter = 5 * time.Second
	// shortestDrain is the least time that a runner is given to finish its requests before it is stopped.
	shortestDrain = 5 * time.Second

	servicePart  = "svc"
	serviceParts = 4
	suffixLength = 12
)

type (
	// services is what the lead keeps running for the document in force.
	services struct {
		quotas types.Revision
		next   time.Time
		// wanted holds the services of the document by version; nil until a document was seen.
		wanted map[version]wanted
		// adding holds the versions with an acceptance that waits for its commit.
		adding map[version]bool
	}

	// version names a service and what the document says of it, its counts apart.
	version struct {
		service string
		spec    string
	}

	// wanted is one service as this data centre has to run it.
	wanted struct {
		entry    envdoc.ServiceEntry
		site     envdoc.SiteCount
		revision types.Revision
	}
)

// serviceTick keeps each service of the document at its count, and rolls new versions out above the floor.
func (l *Leader) serviceTick() {
	d, revision := l.cfg.Document()
	now := l.now()
	if d == nil || now.Before(l.services.next) || l.canCommit() != nil {
		return
	}
	l.services.next = now.Add(servicePeriod)
	l.services.wanted = wantedIn(d, l.site(), revision)
	current := make(map[version]*table.Job)
	for _, id := range sortedJobs(l.state.Jobs) {
		v, ok := versionOf(&l.state.Jobs[id].Spec)
		if !ok {
			continue
		}
		if _, listed := l.services.wanted[v]; listed && current[v] == nil {
			current[v] = l.state.Jobs[id]
		}
	}
	for v, w := range l.services.wanted {
		l.keepService(v, w, current[v])
	}
	l.retireOld(current)
	l.evacuate()
	l.stopDrained()
}

func wantedIn(d *envdoc.Document, site types.DataCentre, revision types.Revision) map[version]wanted {
	out := make(map[version]wanted)
	for _, e := range d.Services {
		for _, s := range e.Sites {
			if s.DataCentre == site && s.Count > 0 {
				out[versionFor(e)] = wanted{entry: e, site: s, revision: revision}
			}
		}
	}
	return out
}

// keepService accepts a service's job, adds tasks to it, or retires those that are too many.
func (l *Leader) keepService(v version, w wanted, j *table.Job) {
	if l.services.adding[v] {
		return
	}
	if j == nil {
		id := types.MintedID{Home: l.site(), Epoch: l.epoch, Random: v.random()}
		l.addService(v, commit.Accept{Job: serviceJob(types.JobID(id.String()), w)})
		return
	}
	live := l.alive(j)
	if missing := w.site.Count - len(live); missing > 0 {
		l.addService(v, commit.Accept{Job: serviceJob(j.Spec.ID, w), Tasks: len(j.Tasks) + missing})
		return
	}
	for _, t := range live[w.site.Count:] {
		l.retire(t)
	}
}

func (l *Leader) addService(v version, a commit.Accept) {
	if l.services.adding == nil {
		l.services.adding = make(map[version]bool)
	}
	l.services.adding[v] = true
	l.writer.add(item{
		record: commit.Record{Accept: &a},
		done: func() {
			delete(l.services.adding, v)
			l.accepted(l.image.Jobs[a.Job.ID])
		},
		failed: func(error) { delete(l.services.adding, v) },
	})
}

// retireOld retires the tasks of versions that the document no longer names: at once when the service is
// gone, else one by one as the new version's tasks run or need the room.
func (l *Leader) retireOld(current map[version]*table.Job) {
	for _, id := range sortedJobs(l.state.Jobs) {
		v, ok := versionOf(&l.state.Jobs[id].Spec)
		if !ok || current[v] == l.state.Jobs[id] {
			continue
		}
		old := l.state.Jobs[id]
		fresh, w, replaced := l.successor(v, current)
		for _, t := range l.alive(old) {
			if !replaced || t.State == table.TaskWaiting {
				l.retire(t)
			}
		}
		if replaced && fresh != nil {
			l.rollOut(old, fresh, w)
		}
	}
}

// successor returns the job and the entry of the version that replaces an old one, if the document has one.
func (l *Leader) successor(old version, current map[version]*table.Job) (*table.Job, wanted, bool) {
	for v, w := range l.services.wanted {
		if v.service == old.service {
			return current[v], w, true
		}
	}
	return nil, wanted{}, false
}

func (l *Leader) rollOut(old, fresh *table.Job, w wanted) {
	if old.SupersededBy == "" {
		l.state.Supersede(old, fresh)
	}
	serving := l.serving(old)
	if len(serving) == 0 {
		return
	}
	total := len(serving) + len(l.serving(fresh))
	spare := total > w.site.Count || (l.crowded(fresh) && total > w.site.Floor)
	if spare && total-1 >= w.site.Floor {
		l.retire(serving[len(serving)-1])
	}
}

// crowded tells whether a task of the job has waited long for room.
func (l *Leader) crowded(j *table.Job) bool {
	for _, t := range j.Waiting() {
		if l.now().Sub(t.Queued) > crowdedAfter {
			return true
		}
	}
	return false
}

// serving returns the running tasks of a job that take new requests.
func (l *Leader) serving(j *table.Job) []*table.Task {
	var out []*table.Task
	for _, t := range j.Tasks {
		if t.State == table.TaskRunning && !l.isLeaving(t) {
			out = append(out, t)
		}
	}
	return out
}

// retire ends a service's task that is no longer wanted. One that runs drains first.
func (l *Leader) retire(t *table.Task) {
	switch t.State {
	case table.TaskWaiting:
		l.end(t, commit.End{State: table.TaskCancelled, Reason: "the document no longer asks for it"}, nil)
	case table.TaskRunning:
		l.leave(t)
	default:
	}
}

// isLeaving tells whether the task's runner takes no new requests.
func (l *Leader) isLeaving(t *table.Task) bool {
	a, ok := l.attempts[t.ID]
	return ok && !a.leaving.IsZero()
}

func (l *Leader) leave(t *table.Task) {
	if a := l.attempt(t.ID); a.leaving.IsZero() {
		a.leaving = l.now()
	}
}

// evacuate has runners, which are replaced while they drain, and work that can be continued elsewhere leave the
// workers that are leaving.
func (l *Leader) evacuate() {
	for _, n := range l.sorted() {
		if n.vm.State != types.VMLeaving {
			continue
		}
		for _, t := range l.tasksOn(n) {
			switch {
			case t.State != table.TaskRunning:
			case t.Job.Spec.Service != nil:
				l.leave(t)
			case t.Job.Spec.Task.CanCheckpoint:
				l.stop(t, true, "worker "+string(n.vm.ID)+" is leaving")
			}
		}
	}
}

// stopDrained stops the runners that have had time to finish their requests.
func (l *Leader) stopDrained() {
	for id, a := range l.attempts {
		t, ok := l.state.Tasks[id]
		if ok && t.State == table.TaskRunning && !a.leaving.IsZero() && l.now().Sub(a.leaving) >= l.drainTime() {
			l.stop(t, false, "its runner has drained")
		}
	}
}

func (l *Leader) drainTime() time.Duration {
	d, _ := l.cfg.Document()
	if d == nil {
		return shortestDrain
	}
	return max(shortestDrain, d.Requests.DefaultDeadline)
}

// retiring tells whether a task belongs to a service version that is no longer wanted, or is one too many.
func (l *Leader) retiring(t *table.Task) bool {
	v, ok := versionOf(&t.Job.Spec)
	if !ok || l.services.wanted == nil {
		return false
	}
	w, listed := l.services.wanted[v]
	spare := len(l.alive(t.Job)) - w.site.Count
	return !listed || spare > 0 || (spare == 0 && l.isLeaving(t))
}

// alive returns the tasks of a job that have not ended and are not leaving, in order.
func (l *Leader) alive(j *table.Job) []*table.Task {
	var out []*table.Task
	for _, t := range j.Tasks {
		if !t.State.Ended() && !l.isLeaving(t) {
			out = append(out, t)
		}
	}
	return out
}

func serviceJob(id types.JobID, w wanted) types.Job {
	e := w.entry
	return types.Job{
		ID: id, Name: string(e.Name), Team: e.Team, Class: e.Class, Task: e.Task, Revision: w.revision,
		Service: &types.Service{
			Name: e.Name, Count: w.site.Count, Floor: w.site.Floor, Slots: e.Slots, Connections: e.Connections,
		},
	}
}

func versionFor(e envdoc.ServiceEntry) version {
	e.Sites = nil
	return version{service: nameHash(e.Name), spec: hex(types.DigestOf(wire.Marshal(e)))}
}

// random returns the random part of a new job's id, which names the version.
func (v version) random() string {
	suffix := strings.ReplaceAll(uuid.NewString(), "-", "")[:suffixLength]
	return strings.Join([]string{servicePart, v.service, v.spec, suffix}, "-")
}

// versionOf returns the version that a service's job runs.
func versionOf(j *types.Job) (version, bool) {
	if j.Service == nil {
		return version{}, false
	}
	return parseVersion(j.ID)
}

// parseVersion reads the version from the id of a service's job.
func parseVersion(id types.JobID) (version, bool) {
	m, err := types.ParseID(string(id))
	if err != nil {
		return version{}, false
	}
	parts := strings.Split(m.Random, "-")
	if len(parts) != serviceParts || parts[0] != servicePart {
		return version{}, false
	}
	return version{service: parts[1], spec: parts[2]}, true
}

func nameHash(name types.ServiceName) string {
	return hex(types.DigestOf([]byte(name)))
}

func hex(d types.Digest) string {
	return fmt.Sprintf("%016x", uint64(d))
}

func sortedJobs(jobs map[types.JobID]*table.Job) []types.JobID {
	out := make([]types.JobID, 0, len(jobs))
	for id := range jobs {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
