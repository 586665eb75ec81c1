package owner

import (
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// quotaWaitEnd is the time without a step that waits for the quota after which an organisation no longer counts as
	// waiting, so that one at its quota does not write a log line with each task that ends.
	quotaWaitEnd = 5 * time.Second
	// organisationPrefix begins the names of the gauges; otherOrganisations follows it in those that sum the organisations
	// without gauges of their own.
	organisationPrefix = "Owner.Organisations."
	otherOrganisations = "others"

	// maxCatalogLag is how long a daemon may have a newer catalog than the leader: a new version must be in force everywhere
	// within 4 s. The rest is for the message that names an organisation.
	maxCatalogLag = 5 * time.Second
	// remainingRunAge is the time after the end of its job for which a run may go on. A stop takes one second with its
	// retries, and the leases on an unreachable runner end within 14 s; the rest is for clocks that differ.
	remainingRunAge = time.Minute
)

type (
	// organisationMetrics holds the gauges of the organisations and which of them wait for their quota.
	organisationMetrics struct {
		registry metrics.Registry
		// names holds the names of the gauges that are registered.
		names map[string]bool
		// waits holds, for each organisation that waits for its quota, since when and when a step was last found waiting.
		waits map[*tasks.Organisation]*quotaWait
		// unnamed holds, for each organisation that no catalog of this term has named, when it was first seen.
		unnamed map[*tasks.Organisation]time.Time
	}

	quotaWait struct {
		since, last time.Time
	}
)

func newOrganisationMetrics(r metrics.Registry) organisationMetrics {
	m := organisationMetrics{
		registry: r, names: make(map[string]bool),
		waits: make(map[*tasks.Organisation]*quotaWait), unnamed: make(map[*tasks.Organisation]time.Time),
	}
	// An earlier term of this daemon may have left gauges.
	r.Each(func(name string, _ any) {
		if strings.HasPrefix(name, organisationPrefix) {
			m.names[name] = true
		}
	})
	return m
}

// adoptRemainingRuns adopts the runs of organisations that may go on though the ledger has no running task for them: those
// that had not ended when their job ended, and those of members of done gangs, since all members count as done when one is. Each counts for
// its organisation until its runner's first report, or until its lease has expired. The caller must hold o.mu.
func (o *Owner) adoptRemainingRuns() {
	oldest := o.config.Clock.Now().Add(-remainingRunAge)
	for _, ended := range o.table.EndedJobs {
		if ended.At.Before(oldest) {
			continue
		}
		for _, run := range ended.Runs {
			o.adoptOrphan(run)
		}
	}
	for _, j := range o.table.Jobs {
		if j.Organisation != nil {
			o.adoptDoneGangs(j)
		}
	}
}

// adoptOrphan adds a run of a job that has ended. The caller must hold o.mu.
func (o *Owner) adoptOrphan(remaining tasks.RemainingRun) {
	r := o.formerRunner(remaining.Runner)
	run := &tasks.Run{Key: tasks.RunKey{Ref: remaining.Ref, Attempt: remaining.Attempt}, Runner: r, Sent: true, Orphan: true}
	o.table.CountOrphan(run)
	r.AddRun(run)
}

// adoptDoneGangs adds the runs of the job's gangs that are done. The caller must hold o.mu.
func (o *Owner) adoptDoneGangs(j *tasks.Job) {
	for _, occurrence := range j.Occurrences {
		for _, s := range occurrence.Steps {
			if s.Spec.Gang && s.Complete() {
				o.adoptDoneGang(s)
			}
		}
	}
}

func (o *Owner) adoptDoneGang(s *tasks.Step) {
	for _, t := range s.Tasks {
		if t.Attempt == 0 {
			continue
		}
		r := o.formerRunner(t.Runner)
		r.AddRun(&tasks.Run{
			Key: tasks.RunKey{Ref: t.Ref, Attempt: t.Attempt}, Runner: r, Sent: true, Resources: s.Spec.Resources,
			Organisation: s.Job.Organisation, Counted: s.Spec.Resources,
		})
	}
}

// isOverQuota reports whether the organisation of a run, which counts already, is above its quota: the quota was lowered after
// the start was decided, or a runner's report showed runs that were not counted before. It also returns true while the limits
// of the organisation are not known. The caller must hold o.mu.
func (o *Owner) isOverQuota(run *tasks.Run) bool {
	return run.Organisation != nil && !types.Resources{}.Fits(o.table.Headroom(run.Organisation))
}

// noteQuotaWaits records which organisations wait for their quota, and logs when one begins to. The caller must hold o.mu.
func (o *Owner) noteQuotaWaits(waiting []*tasks.Organisation, now time.Time) {
	for _, organisation := range waiting {
		if w := o.organisations.waits[organisation]; w != nil {
			w.last = now
			continue
		}
		o.organisations.waits[organisation] = &quotaWait{since: now, last: now}
		o.config.Log.Info().Str("Organisation", string(organisation.Name)).Stringer("Running", organisation.Running).
			Stringer("Quota", organisation.Quota).Msg("work of the organisation waits for its quota")
	}
}

// updateOrganisations updates the gauges of the organisations, and logs which no longer wait for their quota. The caller
// must hold o.mu.
func (o *Owner) updateOrganisations(now time.Time) {
	for organisation, w := range o.organisations.waits {
		if now.Sub(w.last) < quotaWaitEnd {
			continue
		}
		delete(o.organisations.waits, organisation)
		o.config.Log.Info().Str("Organisation", string(organisation.Name)).Dur("After", w.last.Sub(w.since)).
			Stringer("Running", organisation.Running).Stringer("Quota", organisation.Quota).
			Msg("work of the organisation no longer waits for its quota")
	}
	o.markRemoved(now)
	o.organisations.update(o.table.Organisations)
}

// markRemoved marks the organisations that no catalog has named for maxCatalogLag as removed. Until then an organisation may
// be a new one, whose quota is not known here yet. The caller must hold o.mu.
func (o *Owner) markRemoved(now time.Time) {
	if !o.table.LimitsKnown {
		return
	}
	for _, organisation := range o.table.Organisations {
		if o.table.KnowsLimits(organisation) {
			delete(o.organisations.unnamed, organisation)
			continue
		}
		since, ok := o.organisations.unnamed[organisation]
		if !ok {
			o.organisations.unnamed[organisation] = now
			continue
		}
		if now.Sub(since) >= maxCatalogLag {
			organisation.Removed = true
			o.config.Log.Info().Str("Organisation", string(organisation.Name)).Dur("After", now.Sub(since)).
				Msg("the catalog does not name the organisation; its jobs go on without a quota, after those of the others")
		}
	}
}

// update sets the gauges of the organisations that the catalog names, those with smaller weights summed, and removes the
// gauges of organisations that are gone.
func (m *organisationMetrics) update(all map[specs.OrganisationName]*tasks.Organisation) {
	rest := make(map[specs.OrganisationName]float64)
	for name, organisation := range all {
		if organisation.Known {
			rest[name] = organisation.Weight
		}
	}
	unused := m.names
	m.names = make(map[string]bool, len(unused))
	for _, name := range heaviest(rest) {
		m.set(countedPart+metricName(name), all[name].Running, all[name].Quota)
		delete(rest, name)
	}
	if len(rest) > 0 {
		var running, quota types.Resources
		for name := range rest {
			running, quota = running.Add(all[name].Running), quota.Add(all[name].Quota)
		}
		m.set(otherOrganisations, running, quota)
	}
	for name := range unused {
		if !m.names[name] {
			m.registry.Unregister(name)
		}
	}
}

// set sets the gauges of one organisation; a quota of 0 means that there is no limit.
func (m *organisationMetrics) set(who string, running, quota types.Resources) {
	m.setGauge(who, "CoresRunning", int64(running.Cores/types.Core))
	m.setGauge(who, "CoresQuota", int64(quota.Cores/types.Core))
	m.setGauge(who, "MemoryRunningMiB", int64(running.Memory))
	m.setGauge(who, "MemoryQuotaMiB", int64(quota.Memory))
}

func (m *organisationMetrics) setGauge(who, what string, value int64) {
	name := organisationPrefix + who + "." + what
	m.names[name] = true
	metrics.GetOrRegisterGauge(name, m.registry).Update(value)
}
