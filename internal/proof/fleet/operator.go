package fleet

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/edit"
	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

const (
	environment    envdoc.Name = "production"
	changeInterval             = 700 * time.Millisecond
	baseQueueLimit             = 1000
	runnersPerSite             = 2
)

// putFirstDocument puts the first document and records its acceptance.
func (f *fleet) putFirstDocument(ctx context.Context) error {
	record, err := f.newEditor("operator").Put(ctx, environment, 0, document(0))
	if err != nil {
		return err
	}
	f.recorder.addAcceptance(record.Revision, f.cluster.clock.Now())
	return nil
}

// runOperators lets two operators change the document in turn until ctx ends. At every third change both put a document
// on the same revision, so that at most one of them is accepted.
func (f *fleet) runOperators(ctx context.Context) {
	editors := []*edit.Editor{f.newEditor("first"), f.newEditor("second")}
	for change := 1; every.Sleep(ctx, f.cluster.clock, changeInterval); change++ {
		e := editors[change%len(editors)]
		found, err := e.Get(ctx, environment)
		if err != nil {
			continue
		}
		f.putDocument(ctx, e, found.Revision, change)
		if change%3 == 0 {
			f.putDocument(ctx, editors[(change+1)%len(editors)], found.Revision, change+baseQueueLimit)
		}
	}
}

// putDocument puts a document if the revision is still the expected one, and records its acceptance.
func (f *fleet) putDocument(ctx context.Context, e *edit.Editor, expect types.Revision, change int) {
	record, err := e.Put(ctx, environment, expect, document(change))
	if err != nil {
		return
	}
	f.recorder.addAcceptance(record.Revision, f.cluster.clock.Now())
	f.trace.add("revision %d accepted", record.Revision)
}

func (f *fleet) newEditor(name string) *edit.Editor {
	return edit.New(edit.Config{
		Store: f.cluster.Platform.Store.As(sites[0].DataCentre, meter.Discard()), Clock: f.cluster.clock, Audit: audit.Discard{}, By: name,
		InForce: func(envdoc.Name) *edit.Accepted { return nil },
	})
}

// document returns the document of a change. Documents differ only in the limit of the request queue.
func document(change int) []byte {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("DataCentres:")
	for _, s := range sites {
		line("  - Name: %s", s.DataCentre)
		line("    Region: %s", s.Region)
		line("    Workers:")
		line("      - {Count: %d, Capacity: {Cores: 4, Memory: 8GiB, Accelerators: 1}}", workersPerSite)
	}
	line("Teams:")
	line("  - Name: %s", team)
	line("    Quota: {Cores: 100, Memory: 100GiB, Accelerators: 10}")
	line("    MaxClass: Urgent")
	line("Services:")
	line("  - Name: %s", service)
	line("    Team: %s", team)
	line("    Class: Urgent")
	line("    Slots: 8")
	line("    Connections: 64")
	line("    Sites:")
	for _, s := range sites {
		line("      - {DataCentre: %s, Count: %d, Floor: 1}", s.DataCentre, runnersPerSite)
	}
	line("    Task:")
	line("      Resources: {Cores: 0.5, Memory: 512MiB}")
	line("      Idempotent: true")
	line("Placement:")
	line("  TaskLease: 5s")
	line("Requests:")
	line("  Queue: %d", baseQueueLimit+change)
	return []byte(b.String())
}
