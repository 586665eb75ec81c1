package owner

import "github.com/rcrowley/go-metrics"

// counters holds the metrics of the leader.
type counters struct {
	jobsAccepted metrics.Counter
	jobsRejected metrics.Counter
	jobsEnded    metrics.Counter
	// jobsRepeated counts submissions of jobs that are known, states the requests for the state of a job.
	jobsRepeated metrics.Counter
	// submissionsOutdated counts submissions that carried a former policy of their queue.
	submissionsOutdated metrics.Counter
	states              metrics.Counter
	starts              metrics.Counter
	startsRejected      metrics.Counter
	startsUnanswered    metrics.Counter
	startsRepeated      metrics.Counter
	startsDiscarded     metrics.Counter
	runsLost            metrics.Counter
	stops               metrics.Counter
	stopsBeforeLeave    metrics.Counter
	runsFailed          metrics.Counter
	adviceCalls         metrics.Counter
	adviceFailures      metrics.Counter
	// adviceOutdated counts the answers to calls that were made under a former policy of the queue.
	adviceOutdated   metrics.Counter
	renewals         metrics.Counter
	renewFailures    metrics.Counter
	reportsTruncated metrics.Counter
	clocksWentBack   metrics.Counter
	runnersReplaced  metrics.Counter
	lossSuspects     metrics.Counter
	quietStarts      metrics.Counter
	jobsCrashing     metrics.Counter
	// stalls counts the terms that ended for want of progress.
	stalls metrics.Counter
	// Current amounts.
	jobs        metrics.Gauge
	jobsWaiting metrics.Gauge
	runs        metrics.Gauge
	coresFree   metrics.Gauge
	runnersSlow metrics.Gauge
	// stepsUnserved is how many steps the latest plan did not come to.
	stepsUnserved metrics.Gauge
	// Latencies.
	ledgerLoad      metrics.Timer
	ledgerWrite     metrics.Timer
	ledgerSnapshot  metrics.Timer
	acceptToDurable metrics.Timer
	adviceLatency   metrics.Timer
	startLatency    metrics.Timer
	dueToStart      metrics.Timer
	planDuration    metrics.Timer
}

func newCounters(r metrics.Registry) counters {
	count := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("Owner."+name, r) }
	timer := func(name string) metrics.Timer { return metrics.GetOrRegisterTimer("Owner."+name, r) }
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge("Owner."+name, r) }
	return counters{
		jobs: gauge("Jobs"), jobsWaiting: gauge("JobsWaiting"), runs: gauge("Runs"), coresFree: gauge("CoresFree"), runnersSlow: gauge("RunnersSlow"),
		stepsUnserved: gauge("StepsUnserved"),
		jobsAccepted:  count("JobsAccepted"), jobsRejected: count("JobsRefused"), jobsEnded: count("JobsEnded"),
		jobsRepeated: count("JobsRepeated"), states: count("States"), submissionsOutdated: count("SubmissionsOutdated"),
		starts: count("Starts"), startsRejected: count("StartsRejected"), startsUnanswered: count("StartsUnanswered"),
		startsRepeated: count("StartsRepeated"), startsDiscarded: count("StartsDiscarded"),
		runsLost: count("RunsLost"), stops: count("Stops"), stopsBeforeLeave: count("StopsBeforeLeave"), runsFailed: count("RunsFailed"),
		adviceCalls: count("AdviceCalls"), adviceFailures: count("AdviceFailures"), adviceOutdated: count("AdviceOutdated"),
		renewals: count("Holds"), renewFailures: count("HoldFailures"), reportsTruncated: count("HoldsTruncated"),
		clocksWentBack: count("RunnerClocksWentBack"), runnersReplaced: count("RunnersReplaced"),
		lossSuspects: count("LossSuspects"), quietStarts: count("QuietStarts"), jobsCrashing: count("JobsCrashing"),
		stalls:     count("Stalls"),
		ledgerLoad: timer("LedgerLoad"), ledgerWrite: timer("LedgerWrite"), ledgerSnapshot: timer("LedgerImage"), acceptToDurable: timer("AcceptToDurable"),
		adviceLatency: timer("Advice"), startLatency: timer("StartAnswer"), dueToStart: timer("HandInToStart"), planDuration: timer("Plan"),
	}
}
