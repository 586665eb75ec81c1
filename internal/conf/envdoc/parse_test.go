package envdoc

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// valid is a small valid document. Each case below changes one part of it.
const valid = `DataCentres:
  - Name: carthage
    Region: tunis-north
    Workers:
      - {Count: 2, Capacity: {Cores: 64, Memory: 256GiB}}
Teams:
  - Name: bookings
    Quota: {Cores: 100, Memory: 400GiB}
    MaxClass: Normal
Services:
  - Name: desk
    Team: bookings
    Class: Normal
    Slots: 8
    Connections: 64
    Sites:
      - {DataCentre: carthage, Count: 4, Floor: 3}
    Task:
      Resources: {Cores: 8, Memory: 32GiB}
Batch:
  - Name: bundles
    Team: bookings
    Class: Batch
    Count: 10
    Within: 4h
    Task:
      Resources: {Cores: 2.5, Memory: 512MiB}
      RunTime: 20m
Gangs:
  - Name: rosters
    Team: bookings
    Class: Batch
    Count: 4
    Task:
      Resources: {Cores: 500m, Memory: 1GiB}
      RunTime: 20m
Placement:
  TaskLease: 20s
`

// rejectionCase is a change that makes the valid document invalid, with the problem that must be reported.
type rejectionCase struct {
	name string
	// old is replaced with updated in the valid document.
	old, updated string
	line         int
	path         Path
	reason       string
	kind         errs.Kind
}

var rejectionCases = []rejectionCase{
	{"UnknownKey", "Slots: 8", "Slotz: 8", 14, "Services[0].Slotz", "unknown key", errs.Invalid},
	{"UnknownNestedKey", "Cores: 8,", "Cpus: 8,", 19, "Services[0].Task.Resources.Cpus", "unknown key", errs.Invalid},
	{"KeyInWrongCase", "Teams:", "teams:", 6, "teams", "unknown key", errs.Invalid},
	{"KeyTwice", "Slots: 8", "Slots: 8\n    Slots: 9", 15, "", "", errs.Invalid},
	{"MemoryWithoutUnit", "Memory: 32GiB", "Memory: 32", 19, "Services[0].Task.Resources.Memory", "no unit", errs.Invalid},
	{"MemoryInDecimalUnit", "32GiB", "32GB", 19, "Services[0].Task.Resources.Memory", "not a size", errs.Invalid},
	{"MemoryBelowOneMiB", "512MiB", "100KiB", 27, "Batch[0].Task.Resources.Memory", "whole number of MiB", errs.Invalid},
	{"DurationWithoutUnit", "TaskLease: 20s", "TaskLease: 20", 38, "Placement.TaskLease", "no unit", errs.Invalid},
	{"DurationInDays", "Within: 4h", "Within: 1d", 25, "Batch[0].Within", "not a duration", errs.Invalid},
	{"DurationOutOfRange", "TaskLease: 20s", "TaskLease: 1s", 38, "Placement.TaskLease", "out of range", errs.Invalid},
	{"CoresAsText", "Cores: 2.5", "Cores: many", 27, "Batch[0].Task.Resources.Cores", "not a number", errs.Invalid},
	{"CoresTooFine", "Cores: 2.5", "Cores: 2.50001", 27, "Batch[0].Task.Resources.Cores", "finer", errs.Invalid},
	{"CoresNegative", "Cores: 2.5", "Cores: -1", 27, "Batch[0].Task.Resources", "too little", errs.Invalid},
	{"CountWithUnit", "Count: 10", "Count: 10s", 24, "Batch[0].Count", "whole number", errs.Invalid},
	{"CountTooLarge", "Count: 10", "Count: 99999999999", 24, "Batch[0].Count", "can't be read", errs.Invalid},
	{"CountZero", "Count: 10", "Count: 0", 24, "Batch[0].Count", "out of range", errs.Invalid},
	{"NameAsNumber", "Name: desk", "Name: 7", 11, "Services[0].Name", "must be text", errs.Invalid},
	{"NameWithCapitals", "Name: desk", "Name: Desk", 11, "Services[0].Name", "not a name", errs.Invalid},
	{"NameTwice", "Name: bundles", "Name: desk", 21, "Batch[0].Name", "stands twice", errs.Invalid},
	{"ListAsMapping", "Batch:\n  - Name: bundles", "Batch:\n    Name: bundles", 21, "Batch", "must be a list", errs.Invalid},
	{"MappingAsText", "Placement:\n  TaskLease: 20s", "Placement: fast", 37, "Placement", "must be a mapping", errs.Invalid},
	{"Anchor", "Slots: 8", "Slots: &a 8", 14, "Services[0].Slots", "whole number", errs.Invalid},
	{"NotYAML", "Teams:", "Teams: [", 0, "", "", errs.Invalid},
	{"UnknownTeam", "Team: bookings\n    Class: Normal", "Team: nobody\n    Class: Normal", 12, "Services[0].Team", "not a team", errs.Invalid},
	{"UnknownClass", "Class: Normal\n    Slots", "Class: Asap\n    Slots", 13, "Services[0].Class", "not a class", errs.Invalid},
	{"ClassAboveTeams", "Class: Normal\n    Slots", "Class: Urgent\n    Slots", 13, "Services[0].Class", "may not use", errs.Invalid},
	{"UnknownDataCentre", "DataCentre: carthage", "DataCentre: tunis", 17, "Services[0].Sites[0].DataCentre", "not a data centre", errs.Invalid},
	{"FloorAboveCount", "Floor: 3", "Floor: 5", 17, "Services[0].Sites[0].Floor", "out of range", errs.Invalid},
	{"FewerConnectionsThanSlots", "Connections: 64", "Connections: 4", 15, "Services[0].Connections", "out of range", errs.Invalid},
	{"ServiceWithRunTime", "Memory: 32GiB}", "Memory: 32GiB}\n      RunTime: 1h", 20, "Services[0].Task.RunTime", "can't have", errs.Invalid},
	{"WorkWithoutRunTime", "Cores: 2.5, Memory: 512MiB}\n      RunTime: 20m", "Cores: 2.5, Memory: 512MiB}", 26, "Batch[0].Task.RunTime", "missing", errs.Invalid},
	{"TaskLargerThanAnyWorker", "Cores: 2.5", "Cores: 65", 27, "Batch[0].Task.Resources", "no worker", errs.Impossible},
	{"TaskLargerThanQuota", "Cores: 100, Memory: 400GiB", "Cores: 32, Memory: 2GiB", 17, "Services[0].Sites[0].Floor", "floor of 3 tasks needs", errs.Impossible},
	{"QuotaBelowFloor", "Cores: 100", "Cores: 20", 17, "Services[0].Sites[0].Floor", "floor of 3 tasks needs", errs.Impossible},
	{"QuotaBelowCount", "Cores: 100", "Cores: 26", 17, "Services[0].Sites[0].Count", "team's services", errs.Impossible},
	{"ServiceLargerThanDataCentre", "Count: 4, Floor", "Count: 17, Floor", 17, "Services[0].Sites[0].Count", "do not fit", errs.Impossible},
	{"GangLargerThanDataCentre", "Count: 4\n", "Count: 300\n", 33, "Gangs[0].Count", "no data centre can hold", errs.Impossible},
	{"GangLargerThanQuota", "Count: 4\n", "Count: 201\n", 33, "Gangs[0].Count", "at once need", errs.Impossible},
	{"DeadlineBeforeRunTime", "Within: 4h", "Within: 10m", 25, "Batch[0].Within", "takes longer", errs.Impossible},
}

func TestRefusals(t *testing.T) {
	for _, r := range rejectionCases {
		t.Run(r.name, func(t *testing.T) {
			if strings.Count(valid, r.old) == 0 {
				t.Fatalf("the valid document does not contain %q", r.old)
			}
			body := []byte(strings.Replace(valid, r.old, r.updated, 1))
			_, err := Parse(body)
			if !errs.Is(err, r.kind) {
				t.Fatalf("got %v, want kind %s", err, r.kind)
			}
			_, problems := Examine(body)
			assertProblem(t, problems, r)
		})
	}
}

func assertProblem(t *testing.T, problems Problems, want rejectionCase) {
	t.Helper()
	for _, p := range problems {
		if p.Allowed == "" {
			t.Errorf("problem does not say what is allowed: %s", p)
		}
		if (want.line == 0 || p.Line == want.line) && (want.path == "" || p.Path == want.path) &&
			strings.Contains(p.Reason, want.reason) {
			return
		}
	}
	t.Fatalf("no problem at line %d, %s with %q in:\n%v", want.line, want.path, want.reason, problems)
}

func TestParseReadsUnitsAndDefaults(t *testing.T) {
	d, err := Parse([]byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if d.Batch[0].Task.Resources != (types.Resources{Cores: 2500, Memory: 512}) {
		t.Errorf("got %s", d.Batch[0].Task.Resources)
	}
	if d.Gangs[0].Task.Resources.Cores != 500 || d.Services[0].Task.Resources.Memory != 32*types.GiB {
		t.Errorf("got %s and %s", d.Gangs[0].Task.Resources, d.Services[0].Task.Resources)
	}
	if d.Placement.TaskLease != 20*time.Second || d.Placement.MaxAttempts != Default().Placement.MaxAttempts {
		t.Errorf("got %+v", d.Placement)
	}
	if p := d.Policy(types.ClassUrgent); p.Queue != d.Requests.Queue || p.StartWithin == 0 {
		t.Errorf("got %+v", p)
	}
}

func TestAllProblemsAreListedAtOnce(t *testing.T) {
	body := strings.Replace(strings.Replace(valid, "Slots: 8", "Slots: many", 1), "20s", "20", 1)
	_, problems := Examine([]byte(body))
	if len(problems) != 2 {
		t.Fatalf("got %v", problems)
	}
}

func TestTooLargeABodyIsRefused(t *testing.T) {
	if _, err := Parse(make([]byte, MaxBody+1)); err == nil {
		t.Fatal("a document larger than MaxBody was accepted")
	}
}

func TestExamplesAreAccepted(t *testing.T) {
	for _, body := range readExamples(t) {
		if _, err := Parse(body); err != nil {
			t.Error(err)
		}
	}
}

func readExamples(t testing.TB) [][]byte {
	t.Helper()
	names, err := filepath.Glob("../../../examples/*.yaml")
	if err != nil || len(names) < 2 {
		t.Fatalf("got examples %v, %v", names, err)
	}
	var out [][]byte
	for _, name := range names {
		body, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, body)
	}
	return out
}

func BenchmarkParse(b *testing.B) {
	var body strings.Builder
	body.WriteString(strings.Split(valid, "Teams:")[0] + "Teams:\n")
	for i := range 270 {
		fmt.Fprintf(&body, "  - Name: team-%d\n    Quota: {Cores: 64, Memory: 400GiB}\n    MaxClass: Normal\n", i)
	}
	b.SetBytes(int64(body.Len()))
	for b.Loop() {
		if _, err := Parse([]byte(body.String())); err != nil {
			b.Fatal(err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	for _, r := range rejectionCases {
		f.Add([]byte(strings.Replace(valid, r.old, r.updated, 1)))
	}
	for _, body := range readExamples(f) {
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		d, problems := Examine(body)
		if d == nil && len(problems) == 0 {
			t.Fatal("neither a document nor a problem")
		}
		if len(problems) > 0 {
			return
		}
		if err := d.Check(); err != nil {
			t.Fatalf("an accepted document fails its check: %v", err)
		}
		if changes := Compare(d, d); len(changes) > 0 {
			t.Fatalf("a document differs from itself: %v", changes)
		}
	})
}
