package check

import (
	"fmt"
	"sort"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// inForce finds revisions that were in force too late, and VMs that returned to a lower revision.
func inForce(h *History) []Violation {
	return append(lateRevisions(h), revertedRevisions(h)...)
}

// lateRevisions finds samples with a lower revision than the one due at that time.
func lateRevisions(h *History) []Violation {
	var out []Violation
	for _, s := range h.Samples {
		dueAt, want := h.dueRevision(s)
		if s.Revision >= want {
			continue
		}
		out = append(out, Violation{
			Promise: InForce, Subject: string(s.VM), At: s.At,
			Detail: fmt.Sprintf("revision %d is in force, %d was due at %s", s.Revision, want, dueAt.Format(time.RFC3339Nano)),
		})
	}
	return out
}

// dueRevision returns the highest revision that must be in force at a sample, and the time since which it must be. The
// bound of a revision begins at its acceptance or at the end of the VM's latest outage, whichever is later. During an
// outage no revision is due.
func (h *History) dueRevision(s Sample) (time.Time, types.Revision) {
	since, ok := h.reachableSince(s)
	if !ok {
		return time.Time{}, 0
	}
	var dueAt time.Time
	var revision types.Revision
	for _, a := range h.Acceptances {
		from := a.At
		if since.After(from) {
			from = since
		}
		limit := from.Add(h.Bound)
		if a.Revision > revision && s.At.After(limit) {
			dueAt, revision = limit, a.Revision
		}
	}
	return dueAt, revision
}

// reachableSince returns the end of the VM's latest outage before the sample, or false if the sample falls into an
// outage.
func (h *History) reachableSince(s Sample) (time.Time, bool) {
	var since time.Time
	for _, o := range h.Outages {
		if o.VM != s.VM || o.From.After(s.At) {
			continue
		}
		if o.To.IsZero() || o.To.After(s.At) {
			return time.Time{}, false
		}
		if o.To.After(since) {
			since = o.To
		}
	}
	return since, true
}

// revertedRevisions compares each sample with the highest revision that the VM had before. Samples without a revision
// are allowed, since a VM has none for a while after a restart.
func revertedRevisions(h *History) []Violation {
	samples := append([]Sample(nil), h.Samples...)
	sort.SliceStable(samples, func(i, j int) bool { return samples[i].At.Before(samples[j].At) })
	highest := make(map[types.VMID]types.Revision)
	var out []Violation
	for _, s := range samples {
		if s.Revision != 0 && s.Revision < highest[s.VM] {
			out = append(out, Violation{
				Promise: InForce, Subject: string(s.VM), At: s.At,
				Detail: fmt.Sprintf("revision %d replaced the newer revision %d", s.Revision, highest[s.VM]),
			})
		}
		highest[s.VM] = max(highest[s.VM], s.Revision)
	}
	return out
}
