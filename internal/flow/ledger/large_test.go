package ledger

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/magnoliawalk/magnoliawalk/internal/core/pack"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// placedRecords returns one record for each of count tasks that were placed, of jobs of ten tasks.
func placedRecords(count int) []tasks.Record {
	out := make([]tasks.Record, 0, count)
	for i := range count {
		ref := specs.Ref{StepRef: specs.StepRef{Job: specs.JobID(fmt.Sprintf("%016x", uint64(i/10)*0x9e3779b97f4a7c15)), Step: i % 3}, Index: i % 10}
		out = append(out, tasks.Record{Task: &tasks.TaskChange{
			Ref: ref, State: tasks.Placed, Attempt: 1, Runner: specs.RunnerID(fmt.Sprintf("worker-la-marsa-%d", i%350)),
		}})
	}
	return out
}

// Guards against a term that ends because one entry holds more changes than the store takes in one value, as after an outage.
func TestEntryThatIsLargerThanAValueIsStored(t *testing.T) {
	for _, count := range []int{2_000, 6_000, 12_000, 24_000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			f := newStoreFixture(t)
			l, _ := f.openLedger()
			records := placedRecords(count)
			body, err := json.Marshal(records)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d bytes encoded, %d packed, limit %d", len(body), len(pack.Pack(body)), store.MaxValue)
			f.mustAppend(l, Entry{Records: records})
			f.openLedger()
		})
	}
}

// Guards against a gang of which one part is done and the other is not, because its records were split over two segments of which one
// was in flight when the term ended. Before entries were split, the records of one change were in one segment.
func TestChangeOfAGangIsNotSplit(t *testing.T) {
	const count, members = 12_000, 8
	f := newStoreFixture(t)
	l, _ := f.openLedger()
	gang := &specs.Job{ID: "gang", Queue: specs.Queue{Name: "q"}, Steps: []specs.Step{{Count: members, Gang: true}}}
	f.mustAppend(l, Entry{Jobs: []*specs.Job{gang}})
	records := placedRecords(count)
	first, err := fittingRecords(records)
	if err != nil {
		t.Fatal(err)
	}
	for i := range members {
		records[first-members/2+i] = tasks.Record{Task: &tasks.TaskChange{Ref: refOf("gang", i), State: tasks.Done, Attempt: 1}}
	}
	writes, err := l.Begin(Entry{Records: records})
	if err != nil {
		t.Fatal(err)
	}
	if err := writes[1].Run(t.Context()); err != nil {
		t.Fatal(err)
	}
	_, table := f.openLedger()
	done := 0
	for i := range members {
		if table.Task(refOf("gang", i)).State == tasks.Done {
			done++
		}
	}
	if done != 0 && done != members {
		t.Errorf("%d of %d members are done, want all or none", done, members)
	}
}
