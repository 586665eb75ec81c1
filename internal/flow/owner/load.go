package owner

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// latenessInterval is how often the lateness of the leader is measured, loadLogInterval how often a line on the load is
	// written.
	latenessInterval = 100 * time.Millisecond
	loadLogInterval  = time.Second
	// recentDivisor is the part, 1/recentDivisor, by which the recent lateness falls with each measurement.
	recentDivisor = 8
	// turnsOfCall is how many turns of the leader the limit of a call includes: its request is sent in one and its answer read in another.
	turnsOfCall = 2
	// maxCallDelay bounds what the lateness adds to the limit of a call: a renewal that fails must end well before the leases that it renews.
	maxCallDelay = time.Second
	// maxTicketDelay bounds the lateness by which tickets must be valid for longer, so that fresh tickets suffice however late the leader is.
	maxTicketDelay = 300 * time.Millisecond
)

type (
	// load measures how far the leader is behind its work, and what takes its time. Its methods require Owner.mu.
	load struct {
		// lateness is how long whatever comes in waits for the processor, by the latest measurement. Timers alone do not show it: the
		// runtime lets a goroutine that a timer wakes run before the others.
		lateness time.Duration
		// recent is the lateness lately: a greater measurement raises it at once, a smaller one lowers it by a part.
		recent time.Duration
		// inFlight counts the starts that have been sent and not answered.
		inFlight int
		// sums holds the amounts since the latest line.
		sums loadSums
		// counts are those whose differences a line holds.
		counts  []loadCount
		metrics loadMetrics
	}

	loadSums struct {
		plans, ticks time.Duration
		// waits is the longest that goroutines waited for the processor.
		waits time.Duration
		// worstLateness is the greatest lateness, oldestStart the longest time from the decision on a start until it was sent.
		worstLateness, oldestStart time.Duration
		// unserved is the largest number of steps that one plan did not come to.
		unserved int
	}

	// loadCount is a counter with its value in the latest line.
	loadCount struct {
		field   string
		counter metrics.Counter
		logged  int64
	}

	loadMetrics struct {
		lateness       metrics.Gauge
		startsInFlight metrics.Gauge
		window         metrics.Gauge
		decisionToSend metrics.Timer
	}
)

func newLoad(r metrics.Registry, c *counters, w *wasteCounters) load {
	l := load{
		metrics: loadMetrics{
			lateness:       metrics.GetOrRegisterGauge("Owner.LatenessMs", r),
			startsInFlight: metrics.GetOrRegisterGauge("Owner.StartsInFlight", r),
			window:         metrics.GetOrRegisterGauge("Owner.Window", r),
			decisionToSend: metrics.GetOrRegisterTimer("Owner.DecisionToStart", r),
		},
		counts: []loadCount{
			{field: "Accepted", counter: c.jobsAccepted},
			{field: "Refused", counter: c.jobsRejected},
			{field: "Repeated", counter: c.jobsRepeated},
			{field: "States", counter: c.states},
			{field: "Ended", counter: c.jobsEnded},
			{field: "Starts", counter: c.starts},
			{field: "StartsRepeated", counter: c.startsRepeated},
			{field: "StartsUnanswered", counter: c.startsUnanswered},
			{field: "StartsRejected", counter: c.startsRejected},
			{field: "StartsDiscarded", counter: c.startsDiscarded},
			{field: "Renewals", counter: c.renewals},
			{field: "RenewalsFailed", counter: c.renewFailures},
			{field: "AdviceCalls", counter: c.adviceCalls},
			{field: "AdviceFailed", counter: c.adviceFailures},
			{field: "GangBroken", counter: w.runs[tasks.EndedGangBroken]},
			{field: "LeaseExpired", counter: w.runs[tasks.EndedLeaseExpired]},
			{field: "Moved", counter: w.runs[tasks.EndedSlow]},
			{field: "Stalled", counter: w.runs[tasks.EndedStalled]},
		},
	}
	// The counters go on over the terms of a daemon.
	for i := range l.counts {
		l.counts[i].logged = l.counts[i].counter.Count()
	}
	return l
}

// loadLoop measures the lateness of the leader, adapts its window, and writes a line on its load once in each loadLogInterval.
func (o *Owner) loadLoop() {
	began := o.config.Clock.Now()
	loggedAt, termBegan := began, began
	for o.ctx.Err() == nil {
		o.sleep(latenessInterval)
		now := o.config.Clock.Now()
		o.mu.Lock()
		waits := o.processorWaits()
		o.load.sums.waits = max(o.load.sums.waits, waits)
		o.load.noteLateness(max(now.Sub(began)-latenessInterval, waits))
		o.window.adjust(o.load.lateness, len(o.table.Runners))
		o.load.metrics.window.Update(int64(o.window.size))
		if now.Sub(loggedAt) >= loadLogInterval {
			o.logLoad(now.Sub(loggedAt))
			loggedAt = now
		}
		o.mu.Unlock()
		o.leaveIfSlow(termBegan)
		began = o.config.Clock.Now()
	}
}

// processorWaits returns how long goroutines have waited for the processor since the latest call; zero when that is not measured.
func (o *Owner) processorWaits() time.Duration {
	if o.config.ProcessorWaits == nil {
		return 0
	}
	return o.config.ProcessorWaits()
}

func (l *load) noteLateness(late time.Duration) {
	l.lateness = late
	l.recent = max(late, l.recent-l.recent/recentDivisor)
	l.sums.worstLateness = max(l.sums.worstLateness, late)
	l.metrics.lateness.Update(late.Milliseconds())
	l.metrics.startsInFlight.Update(int64(l.inFlight))
}

// noteTick adds the time of a tick, and returns the delay before the next.
func (o *Owner) noteTick(took time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.load.sums.ticks += took
	o.tickDelay = min(max(tickInterval, (tickShareDivisor-1)*took), maxTickInterval)
	return o.tickDelay
}

// delay returns how much longer a call takes because the leader is late. It is added to the limits of calls, since an answer that the
// leader has not read yet is not lost.
func (l *load) delay() time.Duration {
	return min(turnsOfCall*l.recent, maxCallDelay)
}

// ticketDelay returns how much later a start leaves because the leader is late.
func (l *load) ticketDelay() time.Duration {
	return min(l.recent, maxTicketDelay)
}

// isLate reports whether the leader is too late to take on more than it must. The caller must hold o.mu.
func (o *Owner) isLate() bool {
	return o.load.recent > targetLateness
}

// noteDurable notes how long after the decision on a start its intent was durable, so that it can be sent.
func (l *load) noteDurable(took time.Duration) {
	l.metrics.decisionToSend.Update(took)
	l.sums.oldestStart = max(l.sums.oldestStart, took)
}

// logLoad writes a line on the load of the given period, a warning when the leader is late. The caller must hold o.mu.
func (o *Owner) logLoad(period time.Duration) {
	l := &o.load
	line := o.config.Log.Info()
	if l.sums.worstLateness > targetLateness {
		line = o.config.Log.Warn()
	}
	line.Dur("Period", period).Dur("Lateness", l.sums.worstLateness).Dur("Waits", l.sums.waits).
		Int64("JobsWaiting", o.counters.jobsWaiting.Value()).Int64("Runs", o.counters.runs.Value()).
		Int64("RunnersSlow", o.counters.runnersSlow.Value()).
		Int("InFlight", l.inFlight).Int("Writes", len(o.inFlight)).Func(o.window.fields).
		Dur("StartTime", o.answers.starts.Mean()).Dur("RenewalTime", o.answers.renewals.Mean()).Dur("WriteLatency", o.writeLatency).
		Int("Unserved", l.sums.unserved).Dur("OldestStart", l.sums.oldestStart).Dur("Plans", l.sums.plans).Dur("Ticks", l.sums.ticks).
		Func(l.countFields).Msg("load of the leader")
	l.sums = loadSums{}
}

// countFields adds the differences of the counts that are not zero.
func (l *load) countFields(e *zerolog.Event) {
	for i := range l.counts {
		c := &l.counts[i]
		total := c.counter.Count()
		if total > c.logged {
			e.Int64(c.field, total-c.logged)
		}
		c.logged = total
	}
}
