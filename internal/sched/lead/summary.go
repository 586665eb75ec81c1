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
	// MethodSummary asks the leader of another data centre for its free capacity.
	MethodSummary peer.Method = "Jobs.Summary"

	// summaryInterval is how often a leader queries the others.
	summaryInterval = 5 * time.Second
	summaryTimeout  = 2 * time.Second
	// maxRooms bounds the number of worker groups in a summary; the largest ones are kept.
	maxRooms = 16
)

type (
	// SummaryQuery asks for a data centre's summary.
	SummaryQuery struct {
		From types.DataCentre
		// Passed is set when an entry daemon has forwarded the query to its leader.
		Passed bool
	}

	// summaries is the state of the queries to other data centres.
	summaries struct {
		// busy holds the data centres with a query in flight.
		busy   map[types.DataCentre]bool
		nextAt time.Time
		// turn counts the rounds of queries, so that successive queries go to different daemons.
		turn int
	}
)

// Summary returns the free capacity and the number of waiting tasks of this data centre. The error is of kind
// Unavailable if this daemon is not the leader.
func (l *Leader) Summary(_ context.Context) (table.Peer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.role != roleLeader {
		return table.Peer{}, errs.After(errs.Unavailable, writeRetryBackoff, "this daemon does not lead %s", l.dataCentre())
	}
	rooms := l.state.Rooms()
	out := table.Peer{
		DataCentre: l.dataCentre(), Region: l.cfg.Self.Site.Region, Rooms: rooms[:min(len(rooms), maxRooms)], At: l.now(),
	}
	for _, j := range l.state.Waiting() {
		out.Waiting += len(j.Waiting())
	}
	return out, nil
}

// summaryTick queries the other data centres for their summaries at each summaryInterval.
func (l *Leader) summaryTick() {
	if l.cfg.Peers == nil || l.now().Before(l.summaries.nextAt) {
		return
	}
	l.summaries.turn++
	l.summaries.nextAt = l.now().Add(summaryInterval)
	if l.summaries.busy == nil {
		l.summaries.busy = make(map[types.DataCentre]bool)
	}
	for _, dc := range l.otherDataCentres() {
		if target, ok := l.liveEntry(dc, l.summaries.turn); ok && !l.summaries.busy[dc] {
			l.requestSummary(dc, target)
		}
	}
}

func (l *Leader) requestSummary(dc types.DataCentre, target peer.Target) {
	l.summaries.busy[dc] = true
	query := SummaryQuery{From: l.dataCentre()}
	l.runAsync(func(ctx context.Context) func() {
		limited, cancel := clockwork.WithTimeout(ctx, l.cfg.Clock, summaryTimeout)
		defer cancel()
		var found table.Peer
		err := l.cfg.Peers.Call(limited, target, MethodSummary, &query, &found)
		return func() {
			l.summaries.busy[dc] = false
			if err != nil {
				return
			}
			found.At = l.now()
			l.state.Peers[dc] = found
		}
	})
}

// otherDataCentres returns the other data centres that have live entry daemons, in order.
func (l *Leader) otherDataCentres() []types.DataCentre {
	seen := map[types.DataCentre]bool{l.dataCentre(): true}
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
