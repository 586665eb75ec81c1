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
