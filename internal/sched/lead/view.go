package lead

import (
	"context"
	"sort"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/commit"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// Overview holds the counts of workers by health, of tasks by state and of waiting tasks by class, and the resources
// that the workers have (Total) and that attempts on them declared (Used), as this daemon knows them.
type Overview struct {
	Epoch   types.Epoch             `json:"Epoch"`
	Role    string                  `json:"Role"`
	Workers map[table.Health]int    `json:"Workers"`
	Used    types.Resources         `json:"Used"`
	Total   types.Resources         `json:"Total"`
	Tasks   map[table.TaskState]int `json:"Tasks"`
	Queue   map[types.Class]int     `json:"Queue"`
	// StoreDown is set while the store is unreachable or writes are backing off after a failure.
	StoreDown bool `json:"StoreDown"`
	// Offers counts the jobs that are being handed over.
	Offers int `json:"Offers"`
}

// Overview returns an overview of the data centre's workers and tasks. It works in any role; the tables of a standby are
// empty.
func (l *Leader) Overview() Overview {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := Overview{
		Epoch:     l.epoch,
		Role:      string(l.role),
		Workers:   make(map[table.Health]int),
		Tasks:     make(map[table.TaskState]int),
		Queue:     make(map[types.Class]int),
		StoreDown: !l.standby.storeDownSince.IsZero() || l.now().Before(l.writer.retryAt),
		Offers:    len(l.offers),
	}
	for _, w := range l.state.Workers {
		out.Workers[w.Health]++
		out.Used = out.Used.Add(w.Used)
		out.Total = out.Total.Add(w.VM.Capacity)
	}
	for _, t := range l.state.Tasks {
		out.Tasks[t.State]++
		if t.State == table.TaskWaiting {
			out.Queue[t.Job.Spec.Class]++
		}
	}
	return out
}

// Status returns the status of a job. The error is of kind Unavailable if this daemon is not the leader, and of
// kind NotFound if the job is not known here.
func (l *Leader) Status(_ context.Context, id types.JobID) (types.JobStatus, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role != roleLeader {
		return types.JobStatus{}, errs.After(errs.Unavailable, writeRetryBackoff, "this daemon does not lead %s", l.dataCentre())
	}
	j, ok := l.committedState.Jobs[id]
	if !ok {
		return types.JobStatus{}, errs.New(errs.NotFound, "job %s is not known in %s", id, l.dataCentre())
	}
	return l.jobStatus(j), nil
}

func (l *Leader) jobStatus(j *commit.CommittedJob) types.JobStatus {
	out := types.JobStatus{
		ID: j.Spec.ID, Tasks: len(j.Tasks), Home: string(l.dataCentre()), Cancelled: j.Cancelled,
	}
	if j.MovedTo != "" {
		out.State = types.JobMoved
		out.Home = string(j.MovedTo)
		return out
	}
	if live, ok := l.state.Jobs[j.Spec.ID]; ok {
		for _, t := range live.Tasks {
			countTask(&out, t.State, t.Reason)
		}
		out.State = live.State
		if live.Counts.Waiting > 0 && live.Reason != "" {
			out.Reason = live.Reason
		}
		return out
	}
	out.State = types.JobQueued
	if j.Offer != nil {
		out.Reason = "is being handed over to " + string(j.Offer.To)
	}
	if !j.Ended.IsZero() {
		fillEnded(&out, j.Ends)
	}
	return out
}

// fillEnded fills in the status of a job that has ended.
func fillEnded(s *types.JobStatus, e commit.Ends) {
	s.Tasks = e.Total()
	s.Done = e.Done
	s.Failed = e.Failed
	s.Unknown = e.Unknown
	s.Reason = e.Reason
	switch {
	case e.Unknown > 0:
		s.State = types.JobUnknown
	case e.Done == e.Total():
		s.State = types.JobDone
	case s.Cancelled:
		s.State = types.JobCancelled
	default:
		s.State = types.JobFailed
	}
}

func countTask(s *types.JobStatus, state table.TaskState, reason string) {
	switch state {
	case table.TaskRunning, table.TaskStopping:
		s.Running++
	case table.TaskDone:
		s.Done++
	case table.TaskFailed:
		s.Failed++
	case table.TaskUnknown:
		s.Unknown++
	default:
	}
	if state != table.TaskDone && s.Reason == "" {
		s.Reason = reason
	}
}

// Upstreams returns the runners of running service tasks, in order of their IDs. Those that drain are marked as
// leaving.
func (l *Leader) Upstreams() []runner.Upstream {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []runner.Upstream
	if l.role == roleInterim {
		out = l.interimUpstreams()
	}
	for _, t := range l.state.Tasks {
		s := t.Job.Spec.Service
		if s == nil || t.Endpoint == "" || t.State != table.TaskRunning {
			continue
		}
		w := l.state.Workers[t.Worker]
		out = append(out, runner.Upstream{
			ID: types.RunnerID(t.Attempt()), Service: s.Name, VM: t.Worker, Site: w.VM.Site, Endpoint: t.Endpoint,
			Slots: s.Slots, Connections: s.Connections,
			Leaving: w.VM.State == types.VMLeaving || !l.attemptOf(t.ID).drainingSince.IsZero(),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// interimUpstreams returns the runners that the workers reported as running, matched with the services of the
// document in force.
func (l *Leader) interimUpstreams() []runner.Upstream {
	d, _ := l.cfg.Document()
	if d == nil {
		return nil
	}
	byName := make(map[string]int, len(d.Services))
	for i, s := range d.Services {
		byName[nameHash(s.Name)] = i
	}
	var out []runner.Upstream
	for id, report := range l.interim.reports {
		n, ok := l.nodes[id]
		if !ok {
			continue
		}
		for _, s := range report.Attempts {
			v, isService := parseVersion(s.Attempt.Task().Job())
			i, known := byName[v.serviceHash]
			if !isService || !known || s.Endpoint == "" || s.Phase != worker.PhaseRunning {
				continue
			}
			e := d.Services[i]
			out = append(out, runner.Upstream{
				ID: types.RunnerID(s.Attempt), Service: e.Name, VM: id, Site: n.vm.Site, Endpoint: s.Endpoint,
				Slots: e.Slots, Connections: e.Connections, Leaving: n.vm.State == types.VMLeaving,
			})
		}
	}
	return out
}
