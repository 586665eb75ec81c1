package owner

import (
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/timing"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// minAnswerTimeout and maxAnswerTimeout bound the learned time that a runner may take to answer a start, or a renewal beyond the
	// time for which it waits. The least covers pauses of the daemons on the way.
	minAnswerTimeout = 60 * time.Millisecond
	maxAnswerTimeout = 250 * time.Millisecond
	// minRenewMargin and maxRenewMargin are these bounds for renewals: an answer that is taken as lost keeps new tasks off its runner
	// until the next one, so it is given more time.
	minRenewMargin = 150 * time.Millisecond
	maxRenewMargin = 700 * time.Millisecond
	// lossWindow is the time in which answers of runners that go on answering must be lost for more to be expected: minLostAnswers of
	// them, and as many as a part of all runners, 1/lostShareDivisor. The single relay that fails in a large fleet loses fewer.
	// LossHold is for how long they are expected after that.
	lossWindow       = 2 * time.Second
	minLostAnswers   = 4
	lostShareDivisor = 50
	lossHold         = 3 * time.Second
	// maxShortPolls is how many short polls a second a leader makes, so that it does not lack the processor for them.
	maxShortPolls = 1000
	// maxLostAnswerAge is how long a runner may be silent for its lost answer to count: a longer silence is that of the runner.
	maxLostAnswerAge = 3 * time.Second
)

// answers learns from the answers of the runners how long to wait for the next ones, and whether answers are being lost. The
// methods require Owner.mu.
type answers struct {
	// starts and renewals are the times of answers to starts, and to renewals beyond the time for which they wait.
	starts   timing.Estimator
	renewals timing.Estimator
	// lostAt holds when answers were found to be lost within lossWindow, the oldest first.
	lostAt []time.Time
	// expectLossUntil is until when further answers are expected to be lost.
	expectLossUntil time.Time
}

// noteRenewal records the time of an answer to a renewal. One that came with results tells nothing, since it waited for them.
func (a *answers) noteRenewal(request agent.RenewRequest, hasResults bool, took time.Duration) {
	if request.Wait == 0 || !hasResults {
		a.renewals.Observe(max(took-request.Wait, 0))
	}
}

// noteStart records that the given try of a start was answered. After the first one, the answers to the earlier ones were lost.
func (a *answers) noteStart(now time.Time, tries, runners int) {
	if tries > 1 {
		a.noteLost(now, runners)
	}
}

// noteReachable records that a runner answers that did not at silentSince.
func (a *answers) noteReachable(now, silentSince time.Time, runners int) {
	if now.Sub(silentSince) <= maxLostAnswerAge {
		a.noteLost(now, runners)
	}
}

// noteLost records a lost answer, of a fleet of so many runners.
func (a *answers) noteLost(now time.Time, runners int) {
	a.lostAt = slices.DeleteFunc(a.lostAt, func(at time.Time) bool { return now.Sub(at) > lossWindow })
	a.lostAt = append(a.lostAt, now)
	if len(a.lostAt) >= max(minLostAnswers, runners/lostShareDivisor) {
		a.expectLossUntil = now.Add(lossHold)
	}
}

// expectLoss reports whether answers of the runners are likely to be lost.
func (a *answers) expectLoss(now time.Time) bool {
	return now.Before(a.expectLossUntil)
}

// startTimeout returns how long a try of a start may go unanswered before the next. It doubles with each, so that runners which have
// become slower are noticed by their answers. The caller must hold o.mu.
func (o *Owner) startTimeout(try int) time.Duration {
	first := o.answers.starts.Timeout(minAnswerTimeout, maxAnswerTimeout)
	return min(first<<(try-1), requestTimeout) + o.load.delay()
}

// renewMargin returns how much longer than it waits for results a runner may take to answer a renewal. For a runner that has
// not answered it grows with its silence, so that one which is away is called seldom. The caller must hold o.mu.
func (o *Owner) renewMargin(silentSince time.Time) time.Duration {
	margin := o.answers.renewals.Timeout(minRenewMargin, maxRenewMargin) + o.load.delay()
	if silentSince.IsZero() {
		return margin
	}
	return min(max(margin, o.config.Clock.Since(silentSince)), renewTimeout)
}

// pollTimeout returns how long a runner may wait for results before it answers a renewal. Results are noticed with the answer alone,
// so while answers are being lost a busy runner is asked more often, unless this leader is late: then its own turns delay the results, and
// further calls would delay them more. The caller must hold o.mu.
func (o *Owner) pollTimeout(busy bool) time.Duration {
	if !busy || o.isLate() || !o.answers.expectLoss(o.config.Clock.Now()) {
		return longPollTimeout
	}
	spread := time.Second * time.Duration(len(o.table.Runners)) / maxShortPolls
	return min(max(shortPollTimeout, spread), longPollTimeout)
}
