package tasks

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

func twoStepJob(owner specs.OrganisationName) *specs.Job {
	return &specs.Job{ID: "j", Organisation: owner, Steps: []specs.Step{
		{Count: 2, Resources: types.Resources{Cores: 3 * types.Core, Memory: types.GiB}},
		{Count: 1, Resources: types.Resources{Cores: types.Core, Memory: 4 * types.GiB}},
	}}
}

// A leader of an earlier version must be able to read the records of jobs without organisations, and this one those of an
// earlier version.
func TestJobResultsStayReadable(t *testing.T) {
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const earlier = `{"End":{"Job":"j","Queue":"q","State":"Completed","At":"2026-01-01T00:00:00Z"}}`
	t.Run("WithoutOrganisationTheRecordIsAsBefore", func(t *testing.T) {
		table := New()
		result := &JobResult{Job: "j", Queue: "q", State: JobCompleted, At: at}
		j := table.AddJob(twoStepJob(""))
		result.SetRemaining(j, []*Run{NewRunner(agent.Runner{ID: "w"}, 1).PlaceTask(j.Occurrences[0].Steps[0].Tasks[0], 1)})
		text, err := json.Marshal(Record{End: result})
		if err != nil || string(text) != earlier {
			t.Errorf("record %s, error %v; want %s", text, err, earlier)
		}
	})
	t.Run("EarlierRecordIsRead", func(t *testing.T) {
		var r Record
		if err := json.Unmarshal([]byte(earlier), &r); err != nil {
			t.Fatal(err)
		}
		table := New()
		table.Apply(r)
		if want := (EndedJob{Queue: "q", State: JobCompleted, At: at}); !reflect.DeepEqual(table.EndedJobs["j"], want) {
			t.Errorf("job %v, want %v", table.EndedJobs["j"], want)
		}
	})
}

// A new leader must know what may still run of a job that has ended, whether it reads a segment or a snapshot.
func TestRemainingRunsAreStoredWithTheResult(t *testing.T) {
	table := New()
	j := table.AddJob(twoStepJob("a"))
	run := NewRunner(agent.Runner{ID: "w"}, 1).PlaceTask(j.Occurrences[0].Steps[0].Tasks[1], 3)
	result := &JobResult{Job: "j", State: JobCancelled, Organisation: "a"}
	result.SetRemaining(j, []*Run{run})
	text, err := json.Marshal(Record{End: result})
	if err != nil {
		t.Fatal(err)
	}
	var stored Record
	if err := json.Unmarshal(text, &stored); err != nil {
		t.Fatal(err)
	}
	fromSegment, fromSnapshot := New(), New()
	fromSegment.Apply(stored)
	fromSnapshot.Restore([]JobResult{*stored.End})
	want := EndedJob{
		State: JobCancelled, Organisation: "a", Largest: types.Resources{Cores: 3 * types.Core, Memory: 4 * types.GiB},
		Runs: []RemainingRun{{Ref: run.Key.Ref, Attempt: 3, Runner: "w"}},
	}
	for name, read := range map[string]*Table{"Segment": fromSegment, "Snapshot": fromSnapshot} {
		t.Run(name, func(t *testing.T) {
			if got := read.EndedJobs["j"]; !reflect.DeepEqual(got, want) {
				t.Errorf("job %v, want %v", got, want)
			}
		})
	}
	if !strings.Contains(string(text), `"Organisation":"a"`) {
		t.Errorf("record %s lacks the organisation", text)
	}
}

// The bounds of a run whose task is not known must never be below what it takes.
func TestOrphansCountWithAnUpperBound(t *testing.T) {
	capacity := types.Resources{Cores: 16 * types.Core, Memory: 64 * types.GiB}
	table := New()
	largest := types.Resources{Cores: types.Core, Memory: types.GiB}
	table.EndedJobs["sized"] = EndedJob{Organisation: "a", Largest: largest}
	table.EndedJobs["unsized"] = EndedJob{Organisation: "b"}
	table.EndedJobs["none"] = EndedJob{}
	r := NewRunner(agent.Runner{ID: "w", Capacity: capacity}, 1)
	for _, id := range []specs.JobID{"sized", "unsized", "none", "unknown"} {
		run := &Run{Key: RunKey{Ref: specs.Ref{StepRef: specs.StepRef{Job: id}}}, Runner: r, Orphan: true}
		table.CountOrphan(run)
		r.AddRun(run)
	}
	for _, tt := range []struct {
		name string
		got  *Organisation
		want types.Resources
	}{
		{name: "LargestTask", got: table.organisation("a"), want: largest},
		{name: "CapacityWithoutALargestTask", got: table.organisation("b"), want: capacity},
		{name: "CapacityForAllOfAnUnknownJob", got: table.Unattributed, want: capacity},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if tt.got.Running != tt.want {
				t.Errorf("counted %s, want %s", tt.got.Running, tt.want)
			}
		})
	}
	for _, run := range r.Runs {
		r.RemoveRun(run)
	}
	for _, o := range []*Organisation{table.organisation("a"), table.organisation("b"), table.Unattributed} {
		if !o.Running.IsZero() {
			t.Errorf("%q counts %s after all runs were removed", o.Name, o.Running)
		}
	}
}
