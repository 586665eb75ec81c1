package owner

import (
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// restartSource is what told of the restart of a runner.
type restartSource string

const (
	byEntry  restartSource = "Entry"
	byReport restartSource = "Report"
)

// runnerRestarted replaces a runner by the boot that its report names. A boot may differ from the former one in its service, labels and capacity, so the next one gets no tasks before its entry in the
// directory is read. One that was removed from the directory is not in it again by that. The caller must hold o.mu.
func (o *Owner) runnerRestarted(r *tasks.Runner, report agent.Report) {
	info := r.Info
	info.Boot = report.Boot
	next := o.replaceRunner(r, info, byReport)
	next.Listed, next.EntryPending = r.Listed, true
}

// replaceRunner replaces a runner by its next boot. What ran on the former one has ended, but a start that was under way may be carried
// out by the next one, which has seen no fence: such runs move to it in doubt, until it has answered under a higher fence. The caller must
// hold o.mu.
func (o *Owner) replaceRunner(r *tasks.Runner, info agent.Runner, source restartSource) *tasks.Runner {
	o.logRestart(r, info, source)
	next := tasks.NewRunner(info, o.nextFence())
	next.ClockAt = o.config.Clock.Now()
	// Requests that are under way may extend leases there up to the maximum.
	longest := tasks.MaxRequestDelay + o.config.Bounds.MaxLeaseTTL
	next.Deadline = agent.Clock(longest)
	doubtEnds := next.ClockAt.Add(longest + longest/tasks.ClockDrift)
	o.table.SetRunner(next)
	o.noteLeave(next)
	o.confirmLoss(r.Info.Address)
	if r.UnreachableSince.IsZero() {
		o.noteUnreachable(r, false)
	}
	losses := o.assessLoss(r, true)
	for _, run := range r.Runs {
		if run.MayReachNextBoot(next.ClockAt) {
			r.MoveToNextBoot(run, next, losses[run], doubtEnds)
		}
	}
	for _, run := range r.Runs {
		o.removeCrashedRun(run, losses[run])
	}
	o.startRenewLoop(next)
	return next
}

// logRestart logs that a runner has restarted, by an entry of the directory or by a report. A start that was not answered, or
// whose run no report of the former boot has listed, may have reached the next boot. The caller must hold o.mu.
func (o *Owner) logRestart(r *tasks.Runner, info agent.Runner, source restartSource) {
	unanswered, unlisted, inDoubt := 0, 0, 0
	now := o.config.Clock.Now()
	for _, run := range r.Runs {
		switch {
		case run.Sent && !run.Confirmed:
			unanswered++
		case run.Sent && run.FirstAt.IsZero():
			unlisted++
		}
		if run.MayReachNextBoot(now) {
			inDoubt++
		}
	}
	o.config.Log.Info().Str("Runner", string(info.ID)).Int64("Boot", int64(info.Boot)).Str("Source", string(source)).Any("Labels", info.Labels).
		Str("Capacity", info.Capacity.String()).Int("Runs", len(r.Runs)).Int("Unanswered", unanswered).Int("Unlisted", unlisted).
		Int("InDoubt", inDoubt).Msg("runner has restarted; its former runs are lost, but for those in doubt, which may be on the next boot")
}
