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
	// serviceInterval is how often the running services are compared with the document.
	serviceInterval = time.Second
	// capacityWaitTimeout is how long a task of a new version waits for free capacity before a task of the old
	// version is retired to free some.
	capacityWaitTimeout = 5 * time.Second
	// minDrainTimeout is the minimum time that a runner gets to finish its requests before it is stopped.
	minDrainTimeout = 5 * time.Second

	serviceIDPrefix = "svc"
	serviceIDParts  = 4
	idSuffixLength  = 12
)

type (
	// services is the state of the services that the document in force asks for.
	services struct {
		quotaRevision types.Revision
		nextAt        time.Time
		// desired holds the services of the document by version; nil until the first comparison with a document.
		desired map[version]desiredService
		// pendingAccepts holds the versions with an acceptance that waits for its commit.
		pendingAccepts map[version]bool
	}

	// version identifies a service and its entry in the document, without the counts per data centre.
	version struct {
		service string
		spec    string
	}

	// desiredService is one service as this data centre has to run it.
	desiredService struct {
		entry    envdoc.ServiceEntry
		site     envdoc.SiteCount
		revision types.Revision
	}
)

// serviceTick keeps each service of the document at its count, and rolls out new versions while at least the
// floor of tasks serves requests.
func (l *Leader) serviceTick() {
	d, revision := l.cfg.Document()
	now := l.now()
	if d == nil || now.Before(l.services.nextAt) || l.checkCanCommit() != nil {
		return
	}
	l.services.nextAt = now.Add(serviceInterval)
	l.services.desired = desiredServices(d, l.site(), revision)
	current := make(map[version]*table.Job)
	for _, id := range sortedJobIDs(l.state.Jobs) {
		v, ok := versionOfJob(&l.state.Jobs[id].Spec)
		if !ok {
			continue
		}
		if _, listed := l.services.desired[v]; listed && current[v] == nil {
			current[v] = l.state.Jobs[id]
		}
	}
	for v, desired := range l.services.desired {
		l.reconcileService(v, desired, current[v])
	}
	l.retireOldVersions(current)
	l.evacuate()
	l.stopDrained()
}

func desiredServices(d *envdoc.Document, site types.DataCentre, revision types.Revision) map[version]desiredService {
	out := make(map[version]desiredService)
	for _, e := range d.Services {
		for _, s := range e.Sites {
			if s.DataCentre == site && s.Count > 0 {
				out[versionOfEntry(e)] = desiredService{entry: e, site: s, revision: revision}
			}
		}
	}
	return out
}

// reconcileService accepts a service's job, adds missing tasks to it, or retires surplus ones.
func (l *Leader) reconcileService(v version, desired desiredService, j *table.Job) {
	if l.services.pendingAccepts[v] {
		return
	}
	if j == nil {
		id := types.MintedID{Home: l.site(), Epoch: l.epoch, Random: v.randomPart()}
		l.acceptService(v, commit.Accept{Job: serviceJob(types.JobID(id.String()), desired)})
		return
	}
	live := l.activeTasks(j)
	if missing := desired.site.Count - len(live); missing > 0 {
		l.acceptService(v, commit.Accept{Job: serviceJob(j.Spec.ID, desired), Tasks: len(j.Tasks) + missing})
		return
	}
	for _, t := range live[desired.site.Count:] {
		l.retireTask(t)
	}
}

func (l *Leader) acceptService(v version, a commit.Accept) {
	if l.services.pendingAccepts == nil {
		l.services.pendingAccepts = make(map[version]bool)
	}
	l.services.pendingAccepts[v] = true
	l.writer.enqueue(pendingRecord{
		record: commit.Record{Accept: &a},
		onDurable: func() {
			delete(l.services.pendingAccepts, v)
			l.applyAccept(l.committedState.Jobs[a.Job.ID])
		},
		onFailed: func(error) { delete(l.services.pendingAccepts, v) },
	})
}

// retireOldVersions retires the tasks of versions that the document no longer contains: all at once when the
// service was removed, else one by one as tasks of the new version run or wait for capacity.
func (l *Leader) retireOldVersions(current map[version]*table.Job) {
	for _, id := range sortedJobIDs(l.state.Jobs) {
		v, ok := versionOfJob(&l.state.Jobs[id].Spec)
		if !ok || current[v] == l.state.Jobs[id] {
			continue
		}
		old := l.state.Jobs[id]
		replacement, desired, replaced := l.successor(v, current)
		for _, t := range l.activeTasks(old) {
			if !replaced || t.State == table.TaskWaiting {
				l.retireTask(t)
			}
		}
		if replaced && replacement != nil {
			l.rollOut(old, replacement, desired)
		}
	}
}

// successor returns the job and the entry of the version that replaces an old one, if the document has one. The
// job is nil while it is not in the tables.
func (l *Leader) successor(old version, current map[version]*table.Job) (*table.Job, desiredService, bool) {
	for v, desired := range l.services.desired {
		if v.service == old.service {
			return current[v], desired, true
		}
	}
	return nil, desiredService{}, false
}

func (l *Leader) rollOut(old, replacement *table.Job, desired desiredService) {
	if old.SupersededBy == "" {
		l.state.Supersede(old, replacement)
	}
	serving := l.servingTasks(old)
	if len(serving) == 0 {
		return
	}
	total := len(serving) + len(l.servingTasks(replacement))
	canRetire := total > desired.site.Count || (l.waitsForCapacity(replacement) && total > desired.site.Floor)
	if canRetire && total-1 >= desired.site.Floor {
		l.retireTask(serving[len(serving)-1])
	}
}

// waitsForCapacity reports whether a task of the job has waited longer than capacityWaitTimeout.
func (l *Leader) waitsForCapacity(j *table.Job) bool {
	for _, t := range j.Waiting() {
		if l.now().Sub(t.Queued) > capacityWaitTimeout {
			return true
		}
	}
	return false
}

// servingTasks returns the running tasks of a job that accept new requests.
func (l *Leader) servingTasks(j *table.Job) []*table.Task {
	var out []*table.Task
	for _, t := range j.Tasks {
		if t.State == table.TaskRunning && !l.isDraining(t) {
			out = append(out, t)
		}
	}
	return out
}

// retireTask ends a service's task that is no longer wanted. A running one drains first.
func (l *Leader) retireTask(t *table.Task) {
	switch t.State {
	case table.TaskWaiting:
		l.commitResult(t, commit.End{State: table.TaskCancelled, Reason: "the document no longer asks for it"}, nil)
	case table.TaskRunning:
		l.startDraining(t)
	default:
	}
}

// isDraining reports whether the task's runner gets no new requests.
func (l *Leader) isDraining(t *table.Task) bool {
	a, ok := l.attempts[t.ID]
	return ok && !a.drainingSince.IsZero()
}

func (l *Leader) startDraining(t *table.Task) {
	if a := l.attemptOf(t.ID); a.drainingSince.IsZero() {
		a.drainingSince = l.now()
	}
}

// evacuate moves work off the workers that are leaving: runners drain and are replaced meanwhile, and tasks that
// can checkpoint are stopped to continue elsewhere.
func (l *Leader) evacuate() {
	for _, n := range l.sortedNodes() {
		if n.vm.State != types.VMLeaving {
			continue
		}
		for _, t := range l.tasksOn(n) {
			switch {
			case t.State != table.TaskRunning:
			case t.Job.Spec.Service != nil:
				l.startDraining(t)
			case t.Job.Spec.Task.CanCheckpoint:
				l.stopTask(t, true, "worker "+string(n.vm.ID)+" is leaving")
			}
		}
	}
}

// stopDrained stops the runners that have drained for the drain timeout.
func (l *Leader) stopDrained() {
	for id, a := range l.attempts {
		t, ok := l.state.Tasks[id]
		if ok && t.State == table.TaskRunning && !a.drainingSince.IsZero() && l.now().Sub(a.drainingSince) >= l.drainTimeout() {
			l.stopTask(t, false, "its runner has drained")
		}
	}
}

func (l *Leader) drainTimeout() time.Duration {
	d, _ := l.cfg.Document()
	if d == nil {
		return minDrainTimeout
	}
	return max(minDrainTimeout, d.Requests.DefaultDeadline)
}

// isRetiring reports whether a task belongs to a service version that is no longer wanted, or is surplus to the
// count.
func (l *Leader) isRetiring(t *table.Task) bool {
	v, ok := versionOfJob(&t.Job.Spec)
	if !ok || l.services.desired == nil {
		return false
	}
	desired, listed := l.services.desired[v]
	surplus := len(l.activeTasks(t.Job)) - desired.site.Count
	return !listed || surplus > 0 || (surplus == 0 && l.isDraining(t))
}

// activeTasks returns the tasks of a job that have not ended and do not drain, in order.
func (l *Leader) activeTasks(j *table.Job) []*table.Task {
	var out []*table.Task
	for _, t := range j.Tasks {
		if !t.State.Ended() && !l.isDraining(t) {
			out = append(out, t)
		}
	}
	return out
}

func serviceJob(id types.JobID, desired desiredService) types.Job {
	e := desired.entry
	return types.Job{
		ID: id, Name: string(e.Name), Team: e.Team, Class: e.Class, Task: e.Task, Revision: desired.revision,
		Service: &types.Service{
			Name: e.Name, Count: desired.site.Count, Floor: desired.site.Floor, Slots: e.Slots, Connections: e.Connections,
		},
	}
}

func versionOfEntry(e envdoc.ServiceEntry) version {
	e.Sites = nil
	return version{service: nameHash(e.Name), spec: hex(types.DigestOf(wire.Marshal(e)))}
}

// randomPart returns the random part of the ID of a new job; it contains the version.
func (v version) randomPart() string {
	suffix := strings.ReplaceAll(uuid.NewString(), "-", "")[:idSuffixLength]
	return strings.Join([]string{serviceIDPrefix, v.service, v.spec, suffix}, "-")
}

// versionOfJob returns the version that a service's job runs, and false for any other job.
func versionOfJob(j *types.Job) (version, bool) {
	if j.Service == nil {
		return version{}, false
	}
	return parseVersion(j.ID)
}

// parseVersion parses the version from the ID of a service's job.
func parseVersion(id types.JobID) (version, bool) {
	m, err := types.ParseID(string(id))
	if err != nil {
		return version{}, false
	}
	parts := strings.Split(m.Random, "-")
	if len(parts) != serviceIDParts || parts[0] != serviceIDPrefix {
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

func sortedJobIDs(jobs map[types.JobID]*table.Job) []types.JobID {
	out := make([]types.JobID, 0, len(jobs))
	for id := range jobs {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
