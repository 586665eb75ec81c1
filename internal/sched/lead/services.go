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
	// capacityWaitTimeout is how long a task of a new version waits before a task of the old version is retired to
	// free capacity for it.
	capacityWaitTimeout = 5 * time.Second
	// minRunnerDrainPeriod is the minimum time that a runner gets to finish its requests before it is stopped. It has
	// nothing to do with the drain timeout of a daemon.
	minRunnerDrainPeriod = 5 * time.Second

	// The last part of a service job's ID consists of serviceIDParts parts, joined by "-": serviceIDPrefix, the hash
	// of the service's name, the hash of its entry in the document, and randomDigits random hex digits (48 bits).
	serviceIDPrefix = "svc"
	serviceIDParts  = 4
	randomDigits    = 12
)

type (
	// services is the state of the services that the document in force asks for.
	services struct {
		// quotaRevision is the revision of the document whose team quotas are in the tables (see quotaTick).
		quotaRevision types.Revision
		// nextAt is when serviceTick is due again.
		nextAt time.Time
		// desired holds the services of the document by version; nil until the first comparison with a document.
		desired map[version]desiredService
		// pendingAccepts holds the versions with an acceptance that waits for its commit.
		pendingAccepts map[version]bool
	}

	// version identifies one definition of a service by the hashes of its name and of its entry in the document. The
	// latter leaves out Sites, so a change of the counts or floors makes no new version.
	version struct {
		serviceHash string
		specHash    string
	}

	// desiredService is one service as this data centre has to run it; counts holds its count and its floor here.
	desiredService struct {
		serviceEntry envdoc.ServiceEntry
		counts       envdoc.SiteCount
		revision     types.Revision
	}
)

// serviceTick keeps each service of the document at its count, and rolls out new versions so that no fewer tasks
// than the service's floor serve requests. It also moves services and tasks that can checkpoint off leaving workers,
// and stops the runners whose drain period has passed. All of this happens once per serviceInterval, while a document is
// in force and records can be committed.
func (l *Leader) serviceTick() {
	d, revision := l.cfg.Document()
	now := l.now()
	if d == nil || now.Before(l.services.nextAt) || l.checkCanCommit() != nil {
		return
	}
	l.services.nextAt = now.Add(serviceInterval)
	l.services.desired = desiredServices(d, l.dataCentre(), revision)
	current := make(map[version]*table.Job)
	for _, id := range sortedJobIDs(l.state.Jobs) {
		v, ok := versionOfJob(&l.state.Jobs[id].Spec)
		if !ok {
			continue
		}
		if _, wanted := l.services.desired[v]; wanted && current[v] == nil {
			current[v] = l.state.Jobs[id]
		}
	}
	for v, desired := range l.services.desired {
		l.reconcileService(v, desired, current[v])
	}
	l.retireOldVersions(current)
	l.evacuate()
	l.stopAfterDrain()
}

func desiredServices(d *envdoc.Document, dc types.DataCentre, revision types.Revision) map[version]desiredService {
	out := make(map[version]desiredService)
	for _, e := range d.Services {
		for _, s := range e.Sites {
			if s.DataCentre == dc && s.Count > 0 {
				out[versionOfEntry(e)] = desiredService{serviceEntry: e, counts: s, revision: revision}
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
		id := types.MintedID{Home: l.dataCentre(), Epoch: l.epoch, Random: v.idSuffix()}
		l.acceptService(v, commit.Accept{Job: serviceJob(types.JobID(id.String()), desired)})
		return
	}
	active := l.activeTasks(j)
	if missing := desired.counts.Count - len(active); missing > 0 {
		l.acceptService(v, commit.Accept{Job: serviceJob(j.Spec.ID, desired), Tasks: len(j.Tasks) + missing})
		return
	}
	for _, t := range active[desired.counts.Count:] {
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

// retireOldVersions retires the tasks of every service job that is not the current one of its version: all at once
// when the service was removed; else the waiting ones at once, and the running ones one by one (see rollOut).
func (l *Leader) retireOldVersions(current map[version]*table.Job) {
	for _, id := range sortedJobIDs(l.state.Jobs) {
		v, ok := versionOfJob(&l.state.Jobs[id].Spec)
		if !ok || current[v] == l.state.Jobs[id] {
			continue
		}
		old := l.state.Jobs[id]
		replacement, desired, hasReplacement := l.replacementOf(v, current)
		for _, t := range l.activeTasks(old) {
			if !hasReplacement || t.State == table.TaskWaiting {
				l.retireTask(t)
			}
		}
		if hasReplacement && replacement != nil {
			l.rollOut(old, replacement, desired)
		}
	}
}

// replacementOf returns the job and the entry of the version that replaces an old one, and false if the document no
// longer contains the service. The job is nil while it is not in the tables.
func (l *Leader) replacementOf(old version, current map[version]*table.Job) (*table.Job, desiredService, bool) {
	for v, desired := range l.services.desired {
		if v.serviceHash == old.serviceHash {
			return current[v], desired, true
		}
	}
	return nil, desiredService{}, false
}

// rollOut retires one running task of the old job if more tasks of both jobs serve requests than the count, or if
// they are above the floor and the new version waits for capacity. A valid document has no floor above the count,
// so in both cases the check of total-1 only confirms that the floor still holds without the task.
func (l *Leader) rollOut(old, replacement *table.Job, desired desiredService) {
	if old.SupersededBy == "" {
		l.state.Supersede(old, replacement)
	}
	serving := l.servingTasks(old)
	if len(serving) == 0 {
		return
	}
	total := len(serving) + len(l.servingTasks(replacement))
	canRetire := total > desired.counts.Count || (l.waitsForCapacity(replacement) && total > desired.counts.Floor)
	if canRetire && total-1 >= desired.counts.Floor {
		l.retireTask(serving[len(serving)-1])
	}
}

// waitsForCapacity reports whether a task of the job has waited longer than capacityWaitTimeout, whatever the cause. A
// long wait is taken for a lack of capacity.
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

// stopAfterDrain stops the runners whose drain period has passed, whether or not they still work on requests. The
// reason in the audit trail means no more than that.
func (l *Leader) stopAfterDrain() {
	for id, a := range l.attempts {
		t, ok := l.state.Tasks[id]
		if ok && t.State == table.TaskRunning && !a.drainingSince.IsZero() && l.now().Sub(a.drainingSince) >= l.runnerDrainPeriod() {
			l.stopTask(t, false, "its runner has drained")
		}
	}
}

// runnerDrainPeriod returns the time between the start of a runner's drain and its stop: the document's default
// deadline of requests, but at least minRunnerDrainPeriod. It is always waited in full.
func (l *Leader) runnerDrainPeriod() time.Duration {
	d, _ := l.cfg.Document()
	if d == nil {
		return minRunnerDrainPeriod
	}
	return max(minRunnerDrainPeriod, d.Requests.DefaultDeadline)
}

// needsNoReplacement reports whether a service's task whose attempt ends now is not to be run again: its version is no
// longer in the document, or the job has enough active tasks without it. activeTasks counts the task itself unless it
// drains, so for a draining task no surplus is needed. It returns false until serviceTick has seen a document.
func (l *Leader) needsNoReplacement(t *table.Task) bool {
	v, ok := versionOfJob(&t.Job.Spec)
	if !ok || l.services.desired == nil {
		return false
	}
	desired, wanted := l.services.desired[v]
	surplus := len(l.activeTasks(t.Job)) - desired.counts.Count
	return !wanted || surplus > 0 || (surplus == 0 && l.isDraining(t))
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
	e := desired.serviceEntry
	return types.Job{
		ID: id, Name: string(e.Name), Team: e.Team, Class: e.Class, Task: e.Task, Revision: desired.revision,
		Service: &types.Service{
			Name: e.Name, Count: desired.counts.Count, Floor: desired.counts.Floor, Slots: e.Slots, Connections: e.Connections,
		},
	}
}

func versionOfEntry(e envdoc.ServiceEntry) version {
	e.Sites = nil
	return version{serviceHash: nameHash(e.Name), specHash: hexDigest(types.DigestOf(wire.Marshal(e)))}
}

// idSuffix returns the last part of the ID of a new service job: svc-NAMEHASH-ENTRYHASH-RANDOM. parseVersion reads the
// version back from it.
func (v version) idSuffix() string {
	random := strings.ReplaceAll(uuid.NewString(), "-", "")[:randomDigits]
	return strings.Join([]string{serviceIDPrefix, v.serviceHash, v.specHash, random}, "-")
}

// versionOfJob returns the version that a service's job runs, and false for any other job.
func versionOfJob(j *types.Job) (version, bool) {
	if j.Service == nil {
		return version{}, false
	}
	return parseVersion(j.ID)
}

// parseVersion parses the version from the ID of a service's job. It returns false for an ID of another form.
func parseVersion(id types.JobID) (version, bool) {
	m, err := types.ParseID(string(id))
	if err != nil {
		return version{}, false
	}
	parts := strings.Split(m.Random, "-")
	if len(parts) != serviceIDParts || parts[0] != serviceIDPrefix {
		return version{}, false
	}
	return version{serviceHash: parts[1], specHash: parts[2]}, true
}

func nameHash(name types.ServiceName) string {
	return hexDigest(types.DigestOf([]byte(name)))
}

func hexDigest(d types.Digest) string {
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
