package owner

import (
	"cmp"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

// Reasons for which a job of an organisation is refused.
const (
	refusedByQuota    refusalReason = "Quota"
	refusedByOverload refusalReason = "Overload"

	// maxCountedOrganisations limits the organisations that have metrics of their own, those with the largest weights, so
	// that a large catalog does not make the list of metrics long. The metrics of the others are sums.
	maxCountedOrganisations = 64
	admissionPrefix         = "Owner.Admission."
	// countedPart and othersPart follow the prefix in the names of metrics: of one organisation, and of the sums.
	countedPart = "organisation."
	othersPart  = "others."

	acceptToStartMetric = "AcceptToStart"
)

type (
	refusalReason string

	// organisationCounters holds the metrics of the organisations with the largest weights; those of all others are
	// summed.
	organisationCounters struct {
		registry metrics.Registry
		counted  map[specs.OrganisationName]*admissionCounters
		others   *admissionCounters
	}

	// admissionCounters holds the metrics of one organisation.
	admissionCounters struct {
		accepted metrics.Counter
		surplus  metrics.Counter
		refused  map[refusalReason]metrics.Counter
		// waiting is the number of jobs of which no runner is known to have begun a task.
		waiting metrics.Gauge
		// acceptToStart is the time from acceptance to the first start.
		acceptToStart metrics.Timer
	}
)

func newOrganisationCounters(r metrics.Registry) organisationCounters {
	return organisationCounters{registry: r, counted: make(map[specs.OrganisationName]*admissionCounters)}
}

// setWeights chooses the organisations that have metrics of their own, and removes the metrics of all others, also those
// of earlier terms.
func (c *organisationCounters) setWeights(weights map[specs.OrganisationName]float64) {
	chosen := make(map[specs.OrganisationName]*admissionCounters)
	prefixes := make(map[string]bool)
	for _, name := range heaviest(weights) {
		prefixes[metricsOf(name)] = true
		chosen[name] = c.counted[name]
	}
	c.removeExcept(prefixes)
	for name, m := range chosen {
		if m == nil {
			chosen[name] = newAdmissionCounters(c.registry, metricsOf(name))
		}
	}
	c.counted = chosen
}

// removeExcept removes the metrics of organisations whose prefix is not listed.
func (c *organisationCounters) removeExcept(prefixes map[string]bool) {
	var removed []string
	c.registry.Each(func(name string, _ any) {
		rest, ok := strings.CutPrefix(name, admissionPrefix+countedPart)
		if !ok {
			return
		}
		organisation, _, _ := strings.Cut(rest, ".")
		if !prefixes[admissionPrefix+countedPart+organisation+"."] {
			removed = append(removed, name)
		}
	})
	for _, name := range removed {
		c.registry.Unregister(name)
	}
}

// heaviest returns the maxCountedOrganisations organisations with the largest weights.
func heaviest(weights map[specs.OrganisationName]float64) []specs.OrganisationName {
	out := make([]specs.OrganisationName, 0, len(weights))
	for name := range weights {
		out = append(out, name)
	}
	slices.SortFunc(out, func(a, b specs.OrganisationName) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return out[:min(len(out), maxCountedOrganisations)]
}

// accepted counts an accepted job if it belongs to an organisation.
func (c *organisationCounters) accepted(job *specs.Job) {
	if job.Organisation == "" {
		return
	}
	m := c.of(job.Organisation)
	m.accepted.Inc(1)
	if job.Surplus {
		m.surplus.Inc(1)
	}
}

// refused counts a refused job.
func (c *organisationCounters) refused(job *specs.Job, reason refusalReason) {
	c.of(job.Organisation).refused[reason].Inc(1)
}

// started records the first start of a job if it belongs to an organisation.
func (c *organisationCounters) started(job *specs.Job, at time.Time) {
	if job.Organisation != "" {
		c.of(job.Organisation).acceptToStart.Update(at.Sub(job.Accepted))
	}
}

// updateWaiting updates the numbers of waiting jobs.
func (c *organisationCounters) updateWaiting(jobs map[specs.JobID]*tasks.Job) {
	waiting := make(map[*admissionCounters]int64)
	for _, j := range jobs {
		if j.Spec.Organisation != "" && !j.Ran {
			waiting[c.of(j.Spec.Organisation)]++
		}
	}
	for _, m := range c.counted {
		m.waiting.Update(waiting[m])
	}
	if c.others != nil {
		c.others.waiting.Update(waiting[c.others])
	}
}

// of returns the metrics in which an organisation is counted.
func (c *organisationCounters) of(name specs.OrganisationName) *admissionCounters {
	if m := c.counted[name]; m != nil {
		return m
	}
	if c.others == nil {
		c.others = newAdmissionCounters(c.registry, admissionPrefix+othersPart)
	}
	return c.others
}

func newAdmissionCounters(r metrics.Registry, prefix string) *admissionCounters {
	count := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(prefix+name, r) }
	return &admissionCounters{
		accepted: count("JobsAccepted"), surplus: count("JobsSurplus"),
		refused: map[refusalReason]metrics.Counter{
			refusedByQuota: count("JobsRefused." + string(refusedByQuota)), refusedByOverload: count("JobsRefused." + string(refusedByOverload)),
		},
		waiting:       metrics.GetOrRegisterGauge(prefix+"JobsWaiting", r),
		acceptToStart: metrics.GetOrRegisterTimer(prefix+acceptToStartMetric, r),
	}
}

// metricsOf returns the prefix of the metrics of an organisation that has some of its own.
func metricsOf(name specs.OrganisationName) string {
	return admissionPrefix + countedPart + metricName(name) + "."
}

// metricName returns the name of an organisation with all but letters and digits replaced, as the lines of metrics
// require.
func metricName(name specs.OrganisationName) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsLetter(r) || unicode.IsDigit(r) {
			return r
		}
		return '_'
	}, string(name))
}
