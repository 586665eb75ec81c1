package report

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
)

const job = "carthage.7.x"

var noon = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

// record returns a record of vm-1 that was made the given number of seconds after noon.
func record(second int, verb audit.Verb, subject, cause string, inputs ...audit.Input) audit.Record {
	return audit.Record{
		At: noon.Add(time.Duration(second) * time.Second), VM: "vm-1", Site: "carthage",
		Verb: verb, Subject: subject, Cause: cause, Inputs: inputs,
	}
}

func onWorker(worker string) audit.Input { return audit.Input{Name: "Worker", Value: worker} }

func fromState(state string) audit.Input { return audit.Input{Name: "From", Value: state} }

func toState(state string) audit.Input { return audit.Input{Name: "To", Value: state} }

func assertContains(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Fatalf("%q is missing in:\n%s", part, text)
		}
	}
}

func render(t *testing.T, s Explanation) string {
	t.Helper()
	var b strings.Builder
	if err := s.WriteText(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func TestExplain(t *testing.T) {
	cases := []struct {
		name    string
		subject string
		records []audit.Record
		want    []string
	}{
		{"WhyItWaits", job, []audit.Record{
			record(0, audit.VerbAccept, job, ""),
			record(1, audit.VerbWait, job, "the quota of team contracts is used up"),
		}, []string{"it waits: the quota of team contracts is used up", "accepted " + job}},
		{"WhyItWasRefused", job, []audit.Record{
			record(0, audit.VerbRefuse, job, "no worker has 65 cores; the largest has 64"),
		}, []string{"it was refused: no worker has 65 cores"}},
		{"WhyItMoved", job, []audit.Record{
			record(0, audit.VerbStart, job+"/0#1", "first worker with room", onWorker("w-1")),
			record(9, audit.VerbPreempt, job+"/0#1", "urgent task needs the room"),
			record(11, audit.VerbStart, job+"/0#2", "continued from its checkpoint", onWorker("w-2")),
		}, []string{
			"started task 0, attempt 1 on w-1", "stopped, to make room, task 0, attempt 1: urgent task",
			"last: started task 0, attempt 2 on w-2",
		}},
		{"Worker", "w-1", []audit.Record{
			record(0, audit.VerbStart, job+"/0#1", "", onWorker("w-1")),
			record(1, audit.VerbQuarantine, "w-1", "8 of 9 starts failed, its peers' rate is 1 of 100"),
			record(2, audit.VerbEnd, job+"/0#1", "", onWorker("w-1")),
		}, []string{"w-1: it is in quarantine and gets no tasks: 8 of 9 starts failed"}},
		{"Environment", "production", []audit.Record{
			{At: noon, Actor: "amel", Verb: audit.VerbPromote, Subject: "production", Revision: 4, Cause: "promoted from trial"},
		}, []string{"amel promoted a document to production: promoted from trial (document revision 4)"}},
		{"EnvironmentInForce", "production", []audit.Record{
			{At: noon, Verb: audit.VerbInForce, Subject: "production", Revision: 4},
			{At: noon, Verb: audit.VerbRefuse, Subject: "production", Cause: "another operator was faster"},
		}, []string{"production: revision 4 is in force", "refused production: another operator was faster"}},
		{"DoneJob", job, []audit.Record{
			record(0, audit.VerbAccept, job, "accepted"),
			record(1, audit.VerbTransition, job, "", fromState("Queued"), toState("Running")),
			record(9, audit.VerbTransition, job+"/0", "", fromState("Running"), toState("Done")),
			record(9, audit.VerbEnd, job+"/0#1", "Done: "),
			record(9, audit.VerbTransition, job, "", fromState("Running"), toState("Done")),
		}, []string{job + ": it is Done", "ended task 0, attempt 1: Done"}},
		{"LostTask", job, []audit.Record{
			record(1, audit.VerbTransition, job+"/0", "the lease of its worker lapsed", fromState("Running"), toState("Waiting")),
		}, []string{"task 0 went from Running to Waiting: the lease of its worker lapsed"}},
		{"Unknown", "nobody", nil, []string{"nothing is recorded"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assertContains(t, render(t, Explain(c.records, c.subject)), c.want...)
		})
	}
}

func TestRepeatedRecordsAreCounted(t *testing.T) {
	var records []audit.Record
	for i := range 30 {
		records = append(records, record(i, audit.VerbWait, job, "no worker has room"))
	}
	story := Explain(records, job)
	if len(story.Events) != 1 || story.Events[0].Count != 30 {
		t.Fatalf("got %d events, want one with a count of 30", len(story.Events))
	}
	assertContains(t, render(t, story), "(30 times until 2026-12-03 12:00:29)")
}

func TestPartsOfAJobAreFolded(t *testing.T) {
	var records []audit.Record
	for i := range 10 {
		cause := fmt.Sprintf("Normal by pack: worker has %d cores free", 60-i)
		records = append(records, record(i, audit.VerbIntend, fmt.Sprintf("%s/%d#1", job, i), cause, onWorker("w-1")))
	}
	records = append(records, record(20, audit.VerbEnd, job+"/0#1", "Failed: exit 1"), record(21, audit.VerbEnd, job+"/1#1", "Done"))
	story := Explain(records, job)
	if len(story.Events) != 3 || len(story.Events[0].Subjects) != 10 {
		t.Fatalf("got %d events, want 3, the first of 10 tasks:\n%s", len(story.Events), render(t, story))
	}
	assertContains(t, render(t, story), "committed the start of task 0, attempt 1 on w-1: Normal by pack", "and 9 more like it")
}

func TestEveryVerbHasAPhrase(t *testing.T) {
	for _, v := range []audit.Verb{
		audit.VerbAccept, audit.VerbRefuse, audit.VerbIntend, audit.VerbStart, audit.VerbEnd, audit.VerbStop,
		audit.VerbPreempt, audit.VerbThrottle, audit.VerbWait, audit.VerbCancel, audit.VerbHandOver,
		audit.VerbQuarantine, audit.VerbRelease, audit.VerbClaim, audit.VerbStepDown, audit.VerbPut,
		audit.VerbPromote, audit.VerbInForce, audit.VerbDispatch, audit.VerbAnswer,
	} {
		if verbPhrase(v) == strings.ToLower(string(v)) && v != audit.VerbRefuse {
			t.Errorf("verb %s has no phrase", v)
		}
	}
}

func TestExplanationAsJSON(t *testing.T) {
	story := Explain([]audit.Record{record(0, audit.VerbWait, job, "x")}, job)
	story.Missing = []string{"vm-9"}
	body, err := json.Marshal(story)
	if err != nil {
		t.Fatal(err)
	}
	assertContains(t, string(body), `"Summary":"it waits: x"`, `"Missing":["vm-9"]`, `"Verb":"Wait"`)
	assertContains(t, render(t, story), "a part may be missing: vm-9")
}

func healthyFleet() Fleet {
	return Fleet{
		At: noon, Environment: "production",
		DataCentres: []DataCentre{{
			Name: "carthage", Region: "tunis-north", Lead: "vm-1", Epoch: 7, Reached: true, Workers: 17, Running: 40,
		}},
		VMs: []VM{{ID: "vm-2", Reached: true, Revision: 4}, {ID: "vm-1", Reached: true, Revision: 4}},
	}
}

func TestStatusOfAHealthyFleet(t *testing.T) {
	fleet := Status(healthyFleet(), nil)
	var b strings.Builder
	if err := fleet.WriteText(&b); err != nil {
		t.Fatal(err)
	}
	assertContains(t, b.String(), "production, revision 4", "lead vm-1, epoch 7", "no alarms")
	if fleet.VMs[0].ID != "vm-1" {
		t.Fatal("VMs are not sorted by id")
	}
}

func TestEveryAlarmIsInTheOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []AlarmName{
		AlarmNoLead, AlarmLeadUnreached, AlarmVMUnreached, AlarmOldRevision, AlarmUnconfirmed, AlarmNoDocument,
		AlarmQuarantine, AlarmWorkersMissing, AlarmLongWait,
	} {
		assertContains(t, string(page), "`"+string(name)+"`")
	}
}

func TestAlarms(t *testing.T) {
	document := envdoc.Default()
	cases := []struct {
		name  AlarmName
		alter func(f *Fleet)
	}{
		{AlarmNoLead, func(f *Fleet) { f.DataCentres[0].Lead = "" }},
		{AlarmLeadUnreached, func(f *Fleet) { f.DataCentres[0].Reached = false }},
		{AlarmVMUnreached, func(f *Fleet) { f.VMs[0].Reached = false }},
		{AlarmOldRevision, func(f *Fleet) { f.VMs[0].Revision = 3 }},
		{AlarmNoDocument, func(f *Fleet) { f.VMs[0].Revision = 0 }},
		{AlarmUnconfirmed, func(f *Fleet) { f.VMs[0].Age = time.Minute }},
		{AlarmQuarantine, func(f *Fleet) { f.DataCentres[0].Quarantined = 1 }},
		{AlarmWorkersMissing, func(f *Fleet) { f.DataCentres[0].Unreachable = 1 }},
		{AlarmLongWait, func(f *Fleet) {
			f.DataCentres[0].LongestWait = map[types.Class]time.Duration{types.ClassUrgent: 7 * time.Second}
		}},
	}
	for _, c := range cases {
		t.Run(string(c.name), func(t *testing.T) {
			fleet := healthyFleet()
			c.alter(&fleet)
			alarms := Status(fleet, &document).Alarms
			if len(alarms) != 1 || alarms[0].Name != c.name || alarms[0].Do == "" {
				t.Fatalf("got alarms %+v, want just the one of the case, with an action", alarms)
			}
		})
	}
}
