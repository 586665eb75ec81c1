package lead

import (
	"context"
	"sort"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

const (
	// MethodSummary asks the lead of another data centre how much room it has.
	MethodSummary peer.Method = "Jobs.Summary"

	// summaryInterval is how often leads ask each other.
	summaryInterval = 5 * time.Second
	summaryTimeout  = 2 * time.Second
	// maxRooms limits a summary to the largest groups of workers.
	maxRooms = 16
)

type (
	// SummaryQuery asks for a data centre's summary.
	SummaryQuery struct {
		From types.DataCentre
		// Passed tells that an entry has passed it on to its lead.
		Passed bool
	}

	// summaries is the state of asking other data centres.
	summaries struct {
		busy   map[types.DataCentre]bool
		nextAt time.Time
		turn   int
	}
)

// Summary returns how much room this data centre has.
func (l *Leader) Summary(_ context.Context) (table.Peer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role != roleLeader {
		return table.Peer{}, errs.After(errs.Unavailable, writeRetryBackoff, "this daemon does not lead %s", l.site())
	}
	rooms := l.state.Rooms()
	out := table.Peer{
		DataCentre: l.site(), Region: l.cfg.Self.Site.Region, Rooms: rooms[:min(len(rooms), maxRooms)], At: l.now(),
	}
	for _, j := range l.state.Waiting() {
		out.Waiting += len(j.Waiting())
	}
	return out, nil
}

// summaryTick asks the other data centres for their summaries now and then.
func (l *Leader) summaryTick() {
	if l.cfg.Peers == nil || l.now().Before(l.summaries.nextAt) {
		return
	}
	l.summaries.turn++
	l.summaries.nextAt = l.now().Add(summaryInterval)
	if l.summaries.busy == nil {
		l.summaries.busy = make(map[types.DataCentre]bool)
	}
	for _, site := range l.otherSites() {
		if target, ok := l.liveEntry(site, l.summaries.turn); ok && !l.summaries.busy[site] {
			l.requestSummary(site, target)
		}
	}
}

func (l *Leader) requestSummary(site types.DataCentre, target peer.Target) {
	l.summaries.busy[site] = true
	query := SummaryQuery{From: l.site()}
	l.runAsync(func(ctx context.Context) func() {
		limited, cancel := clockwork.WithTimeout(ctx, l.cfg.Clock, summaryTimeout)
		defer cancel()
		var found table.Peer
		err := l.cfg.Peers.Call(limited, target, MethodSummary, &query, &found)
		return func() {
			l.summaries.busy[site] = false
			if err != nil {
				return
			}
			found.At = l.now()
			l.state.Peers[site] = found
		}
	})
}

// otherSites returns the other data centres that have live entries, in order.
func (l *Leader) otherSites() []types.DataCentre {
	seen := map[types.DataCentre]bool{l.site(): true}
	var out []types.DataCentre
	for _, e := range l.cfg.Entries() {
		if !seen[e.Site.DataCentre] {
			seen[e.Site.DataCentre] = true
			out = append(out, e.Site.DataCentre)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
