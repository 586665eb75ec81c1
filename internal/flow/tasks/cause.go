package tasks

// Causes of a run's end other than that its task was done.
const (
	// EndedFailed means that the task or its runner failed.
	EndedFailed EndCause = "Failed"
	// EndedGangBroken means that another member of its gang ended early, or did not start.
	EndedGangBroken EndCause = "GangBroken"
	// EndedSlow means that it was stopped to start on a faster runner, EndedStalled that it was stopped for lack of progress.
	EndedSlow    EndCause = "Slow"
	EndedStalled EndCause = "Stalled"
	// EndedLeaseExpired means that its lease has expired.
	EndedLeaseExpired EndCause = "LeaseExpired"
	// EndedRunnerLeft means that its runner has restarted, or is draining or removed and no longer runs it.
	EndedRunnerLeft EndCause = "RunnerLeft"
	// EndedCancelled means that its job had ended.
	EndedCancelled EndCause = "Cancelled"
	// EndedOther means that it was stopped for another reason, for example since another attempt is the current one.
	EndedOther EndCause = "Other"
)

// EndCause is why a run ended before its task was done.
type EndCause string
