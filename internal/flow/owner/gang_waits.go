package owner

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/order"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// loggedGangWait is the wait from which on a line tells of a gang.
	loggedGangWait = time.Second
	// maxCountedPlaces limits the waiting gangs whose places are counted in each summary.
	maxCountedPlaces = 64
)

var gangWaitReasons = []order.WaitReason{
	order.WaitsForAdvice, order.WaitsForPlaces, order.WaitsForShare, order.WaitsForKept, order.WaitsForTickets, order.WaitsForMembers,
	order.WaitsForQuota,
}

type (
	// gangWaits tells why gangs wait: how long each has waited, by reason, and the sums of all. Its methods require Owner.mu.
	gangWaits struct {
		byStep map[*tasks.Step]*gangWait
		// counters hold the milliseconds that gangs have waited.
		counters map[order.WaitReason]metrics.Counter
		started  metrics.Counter
	}

	// gangWait is the wait of one gang for its next start.
	gangWait struct {
		// reason is that of the latest plan, at which the wait is accounted for up to then.
		reason order.WaitReason
		at     time.Time
		times  map[order.WaitReason]time.Duration
		// places is where the gang could be placed at the latest summary, and countedAt when that was; zero before.
		places    order.Places
		countedAt time.Time
	}
)

func newGangWaits(r metrics.Registry) gangWaits {
	w := gangWaits{
		byStep:   make(map[*tasks.Step]*gangWait),
		counters: make(map[order.WaitReason]metrics.Counter),
		started:  metrics.GetOrRegisterCounter("Owner.GangsStarted", r),
	}
	for _, reason := range gangWaitReasons {
		w.counters[reason] = metrics.GetOrRegisterCounter("Owner.GangWaitMs."+string(reason), r)
	}
	return w
}

// note adds the gangs that wait after a plan.
func (w *gangWaits) note(waits []order.GangWait, now time.Time) {
	for _, gw := range waits {
		g := w.byStep[gw.Step]
		if g == nil {
			g = &gangWait{at: now, times: make(map[order.WaitReason]time.Duration)}
			w.byStep[gw.Step] = g
		}
		w.account(g, now)
		g.reason = gw.Reason
	}
}

// account adds the time since the latest plan to the reason that was found then.
func (w *gangWaits) account(g *gangWait, now time.Time) {
	if g.reason != "" {
		waited := now.Sub(g.at)
		g.times[g.reason] += waited
		w.counters[g.reason].Inc(waited.Milliseconds())
	}
	g.at = now
}

// end ends the wait of a gang, and returns it, or nil when the gang did not wait.
func (w *gangWaits) end(s *tasks.Step, now time.Time) *gangWait {
	g := w.byStep[s]
	if g != nil {
		w.account(g, now)
		delete(w.byStep, s)
	}
	return g
}

func (g *gangWait) total() time.Duration {
	var sum time.Duration
	for _, d := range g.times {
		sum += d
	}
	return sum
}

// fields adds the times by reason, and the places at the latest summary, to a line.
func (g *gangWait) fields(e *zerolog.Event) {
	for _, reason := range gangWaitReasons {
		if d := g.times[reason]; d > 0 {
			e.Dur("WaitFor"+string(reason), d)
		}
	}
	if g.countedAt.IsZero() {
		return
	}
	p := &g.places
	e.Dur("PlacesAge", g.at.Sub(g.countedAt)).Int("Allowed", p.Allowed).Int("WithTicket", p.WithTicket).
		Int("FreeWithTicket", p.FreeWithTicket).Int("FreeAllowed", p.FreeAllowed).Int("Free", p.Free).Int64("FreeMilliCores", int64(p.FreeCores))
}

// noteGangStarts ends the waits of the gangs among the starts. The caller must hold o.mu.
func (o *Owner) noteGangStarts(starts []order.Start, now time.Time) {
	for left := starts; len(left) > 0; left = left[groupSize(left):] {
		if s := left[0].Task.Step; s.Spec.Gang {
			o.gangWaits.started.Inc(1)
			o.logGangWait(s, o.gangWaits.end(s, now), now, "gang starts after a wait")
		}
	}
}

// summariseGangWaits counts the places of waiting gangs, and ends the waits of those that will not start. The caller must hold o.mu.
func (o *Owner) summariseGangWaits(now time.Time) {
	counted := 0
	for s, g := range o.gangWaits.byStep {
		switch {
		case s.Job.Ending || o.table.Jobs[s.Job.Spec.ID] != s.Job:
			o.logGangWait(s, o.gangWaits.end(s, now), now, "gang has not started")
		case counted < maxCountedPlaces:
			g.places, g.countedAt = order.CountPlaces(o.table, s, now), now
			counted++
		}
	}
}

// logGangWait writes a line on a wait that has ended, unless it was short. The caller must hold o.mu.
func (o *Owner) logGangWait(s *tasks.Step, g *gangWait, now time.Time, message string) {
	if g == nil || g.total() < loggedGangWait {
		return
	}
	o.config.Log.Info().Str("Step", s.Ref.String()).Str("Queue", string(s.Job.Spec.Queue.Name)).Int("Tasks", len(s.Tasks)).
		Int64("MilliCores", int64(s.Spec.Resources.Cores)).Dur("Waited", g.total()).
		Dur("Slack", s.Occurrence.Objective(s.Job).Sub(now)-o.table.Times.RemainingPath(s)).Func(g.fields).Msg(message)
}
