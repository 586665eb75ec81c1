package owner

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/rates"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

// applyWeights gives the token buckets and the counters the weights of a new catalog. The first catalog of a term also
// takes the tokens of the jobs in the tables, so that a change of leader does not fill the buckets. The caller must hold
// o.mu.
func (o *Owner) applyWeights() {
	if !o.table.LimitsKnown || (o.rates != nil && o.ratesVersion == o.catalogVersion) {
		return
	}
	o.ratesVersion = o.catalogVersion
	weights := make(map[specs.OrganisationName]float64, len(o.table.Organisations))
	for name, organisation := range o.table.Organisations {
		if organisation.Known {
			weights[name] = organisation.Weight
		}
	}
	now := o.config.Clock.Now()
	isFirst := o.rates == nil
	if isFirst {
		o.rates = rates.New(o.config.Bounds.RateTolerance)
	}
	o.rates.SetWeights(weights, now)
	if isFirst {
		o.rates.Replay(o.acceptances(), now)
	}
	o.organisationCounters.setWeights(weights)
}

// acceptances returns the jobs in the tables that took a token, in the order in which they were accepted. The caller must
// hold o.mu.
func (o *Owner) acceptances() []rates.Acceptance {
	var out []rates.Acceptance
	for _, j := range o.table.Jobs {
		if j.Spec.Organisation != "" && !j.Spec.Surplus {
			out = append(out, rates.Acceptance{Organisation: j.Spec.Organisation, At: j.Spec.Accepted})
		}
	}
	slices.SortFunc(out, func(a, b rates.Acceptance) int { return a.At.Compare(b.At) })
	return out
}

// isSurplus reports whether the job's organisation has used up its weight. Until a catalog is known, no job is surplus.
// The caller must hold o.mu.
func (o *Owner) isSurplus(job *specs.Job, now time.Time) bool {
	return job.Organisation != "" && o.rates != nil && !o.rates.Within(job.Organisation, now)
}

// takeToken takes the token of an accepted job. A refused job takes none, since its organisation would otherwise lose a
// token for each retry. The caller must hold o.mu.
func (o *Owner) takeToken(job *specs.Job, now time.Time) {
	if job.Organisation != "" && o.rates != nil && !job.Surplus {
		o.rates.Take(job.Organisation, now)
	}
}

// slotDelay returns the time to the next slot, in delay or later, of the organisation of a refused surplus job. It returns
// false for other jobs, and for an organisation without a weight. The caller must hold o.mu.
func (o *Owner) slotDelay(job *specs.Job, delay time.Duration, now time.Time) (time.Duration, bool) {
	if !job.Surplus {
		return 0, false
	}
	slot, ok := o.rates.Slot(job.Organisation, now, now.Add(delay))
	return slot.Sub(now), ok
}

// reportRefusal counts and logs the refusal of a job that belongs to an organisation. The caller must hold o.mu.
func (o *Owner) reportRefusal(job *specs.Job, reason refusalReason, excess time.Duration, err error) {
	if job.Organisation == "" {
		return
	}
	o.organisationCounters.refused(job, reason)
	event := o.config.Log.Info().Str("Job", string(job.ID)).Str("Queue", string(job.Queue.Name)).Func(organisationFields(job))
	if organisation := o.table.Organisations[job.Organisation]; organisation != nil {
		event = event.Bool("Known", organisation.Known).Float64("Weight", organisation.Weight).Str("Quota", organisation.Quota.String())
	}
	event.Str("Reason", string(reason)).Dur("Excess", excess).Dur("RetryAfter", errs.Of(err).RetryAfter).Err(err).Msg("job refused")
}

// organisationFields returns a function that adds the organisation of a job, if it has one, to a log line.
func organisationFields(job *specs.Job) func(*zerolog.Event) {
	return func(e *zerolog.Event) {
		if job.Organisation != "" {
			e.Str("Organisation", string(job.Organisation)).Bool("Surplus", job.Surplus)
		}
	}
}
