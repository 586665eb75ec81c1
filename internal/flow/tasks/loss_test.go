package tasks

import (
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// TestLossesDecideWhetherATaskIsGivenUp guards against a task that is given up before two runners have certainly crashed under it, as
// callers are told, or for runners that were only out of reach, and against one that is started after the fifth crash.
func TestLossesDecideWhetherATaskIsGivenUp(t *testing.T) {
	crash := Loss{Counts: true, Crashed: true}
	alone := Loss{Counts: true, Crashed: true, Alone: true}
	prompt := Loss{Counts: true, Crashed: true, Alone: true, Prompt: true}
	silent := Loss{Counts: true}
	doubtful := Loss{Counts: true, Doubtful: true}
	for name, test := range map[string]struct {
		losses []Loss
		want   bool
	}{
		"OneCrash":                   {losses: []Loss{crash}},
		"OneCrashAlone":              {losses: []Loss{alone}},
		"TwoSharedCrashes":           {losses: []Loss{crash, crash}},
		"TwoCrashesTheLastPrompt":    {losses: []Loss{crash, prompt}, want: true},
		"OneCrashThatIsPrompt":       {losses: []Loss{silent, prompt}},
		"AloneInOneOfTwoCrashes":     {losses: []Loss{crash, alone}},
		"AloneInOneOfThreeCrashes":   {losses: []Loss{crash, crash, alone}},
		"AloneInTwoOfThreeCrashes":   {losses: []Loss{crash, alone, alone}, want: true},
		"SilentThenAloneTwice":       {losses: []Loss{silent, alone, alone}, want: true},
		"SilentThenAlone":            {losses: []Loss{silent, alone}},
		"ThreeSharedCrashes":         {losses: []Loss{crash, crash, crash}},
		"FourSharedCrashes":          {losses: []Loss{crash, crash, crash, crash}, want: true},
		"FourLossesWithOneCrash":     {losses: []Loss{silent, crash, silent, silent}},
		"FourLossesWithTwoCrashes":   {losses: []Loss{silent, crash, silent, crash}},
		"FourCrashesBetweenSilences": {losses: []Loss{crash, silent, crash, crash, silent, crash}, want: true},
		"FiveLossesWithoutAnyCrash":  {losses: []Loss{silent, silent, silent, silent, silent}},
		"UnconfirmedThenPrompt":      {losses: []Loss{doubtful, prompt}},
		"UnconfirmedThenAlone":       {losses: []Loss{doubtful, doubtful, alone}},
		"FourUnconfirmed":            {losses: []Loss{doubtful, doubtful, doubtful, doubtful}, want: true},
		"ManyLossesWithOneCrash":     {losses: []Loss{silent, silent, silent, silent, silent, silent, silent, alone}},
		"LossesThatDoNotCount":       {losses: []Loss{{}, {}, {}, {}, {}, crash}},
		"OneCrashAfterFourUncounted": {losses: []Loss{{}, {}, {}, {}, alone}},
	} {
		t.Run(name, func(t *testing.T) {
			var record LossRecord
			for i, l := range test.losses {
				record.Add(l, specs.Attempt(i+1))
			}
			if got := record.IsGivenUp(test.losses[len(test.losses)-1]); got != test.want {
				t.Errorf("given up: %v, want %v (%+v)", got, test.want, record)
			}
		})
	}
}

// TestLossOfAnAttemptCountsOnce guards against members of a gang on one runner that each count its crash.
func TestLossOfAnAttemptCountsOnce(t *testing.T) {
	var record LossRecord
	for range 3 {
		record.Add(Loss{Counts: true, Crashed: true}, 1)
	}
	if record.Losses != 1 || record.Crashes != 1 {
		t.Errorf("one attempt counts as %+v, want 1 loss and 1 crash", record)
	}
}

// TestCrashThatIsKnownLaterCountsOnce guards against a crash that counts twice, as a loss and as the proof that follows, and against
// one that counts though its loss does not.
func TestCrashThatIsKnownLaterCountsOnce(t *testing.T) {
	var record LossRecord
	alone := Loss{Counts: true, Crashed: true, Alone: true}
	record.ConfirmCrash(alone)
	record.Add(Loss{Counts: true}, 1)
	record.ConfirmCrash(alone)
	record.ConfirmCrash(alone)
	if want := (LossRecord{Losses: 1, Crashes: 1, Alone: 1, In: 1}); record != want {
		t.Errorf("one crash counts as %+v, want %+v", record, want)
	}
}

// TestRunnerStaysQuietForASuspectedRun guards against starts beside a task that may crash the runner, and against a runner that gets none
// after that task has ended.
func TestRunnerStaysQuietForASuspectedRun(t *testing.T) {
	now := time.Now()
	r := NewRunner(agent.Runner{ID: "w"}, 1)
	j := New().AddJob(&specs.Job{ID: "j", Steps: []specs.Step{{Count: 1}}})
	run := r.PlaceTask(j.Occurrences[0].Steps[0].Tasks[0], 1)
	r.KeepQuiet(run)
	checkQuiet(t, r, now, true)
	run.Sent, run.SentAt = true, now
	checkQuiet(t, r, now.Add(QuietTime-time.Millisecond), true)
	checkQuiet(t, r, now.Add(QuietTime), false)
	r.RemoveRun(run)
	checkQuiet(t, r, now, false)
}

func checkQuiet(t *testing.T, r *Runner, at time.Time, want bool) {
	t.Helper()
	if got := r.IsQuiet(at); got != want {
		t.Errorf("the runner is quiet: %v, want %v", got, want)
	}
}

// TestSnapshotKeepsTheAddressesOfRunnersWithRuns guards against a snapshot that drops the address of a runner which the next leader needs,
// and against one that keeps it from being recorded again.
func TestSnapshotKeepsTheAddressesOfRunnersWithRuns(t *testing.T) {
	table := New()
	r := NewRunner(agent.Runner{ID: "w", Address: "w:1"}, 1)
	table.SetRunner(r)
	table.Apply(Record{Runner: &RunnerAddress{Runner: "w", Address: "w:1"}})
	run := r.PlaceTask(table.AddJob(&specs.Job{ID: "j", Steps: []specs.Step{{Count: 1}}}).Occurrences[0].Steps[0].Tasks[0], 1)
	checkAddress(t, table, true)
	r.RemoveRun(run)
	checkAddress(t, table, false)
	if _, ok := table.Address("w"); ok {
		t.Error("the address that no snapshot holds is still known, so it is not recorded again")
	}
}

// checkAddress checks whether the records of a snapshot restore the address of the runner w.
func checkAddress(t *testing.T, table *Table, want bool) {
	t.Helper()
	restored := New()
	for _, r := range table.SnapshotRecords() {
		restored.Apply(r)
	}
	if _, got := restored.Address("w"); got != want {
		t.Errorf("the snapshot holds the address: %v, want %v", got, want)
	}
}
