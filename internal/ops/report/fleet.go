package report

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// maxConfirmationAge is the age of the last confirmation of a VM's revision above which AlarmUnconfirmed is raised.
const maxConfirmationAge = 30 * time.Second

type (
	// Fleet is the status of the fleet as one daemon sees it.
	Fleet struct {
		At          time.Time      `json:"At"`
		Environment envdoc.Name    `json:"Environment"`
		Revision    types.Revision `json:"Revision"`
		DataCentres []DataCentre   `json:"DataCentres"`
		VMs         []VM           `json:"VMs"`
		Alarms      []Alarm        `json:"Alarms"`
	}

	// DataCentre is the status of one data centre as its leader reports it.
	DataCentre struct {
		Name   types.DataCentre `json:"Name"`
		Region types.Region     `json:"Region"`
		// Lead is the leader's VM. It is empty while no leader is known.
		Lead  types.VMID  `json:"Lead,omitempty"`
		Epoch types.Epoch `json:"Epoch,omitempty"`
		// Reached reports whether the leader answered. Otherwise the counts are unknown and zero.
		Reached     bool                `json:"Reached"`
		Workers     int                 `json:"Workers"`
		Quarantined int                 `json:"Quarantined"`
		Unreachable int                 `json:"Unreachable"`
		Running     int                 `json:"Running"`
		Waiting     map[types.Class]int `json:"Waiting,omitempty"`
		// LongestWait is how long the first waiting task of each class has waited.
		LongestWait map[types.Class]time.Duration `json:"LongestWait,omitempty"`
		Capacity    types.Resources               `json:"Capacity"`
		Used        types.Resources               `json:"Used"`
	}

	// VM is an entry VM and the document revision that it has in force.
	VM struct {
		ID         types.VMID       `json:"ID"`
		DataCentre types.DataCentre `json:"DataCentre"`
		Reached    bool             `json:"Reached"`
		Revision   types.Revision   `json:"Revision"`
		// Age is the time since the store last confirmed the revision, directly or through peers.
		Age      time.Duration `json:"Age"`
		Draining bool          `json:"Draining,omitempty"`
	}

	// Alarm is a condition that an operator should know of, and what to do about it.
	Alarm struct {
		Name AlarmName `json:"Name"`
		Text string    `json:"Text"`
		// Do is what the operator should do; empty when the system recovers by itself.
		Do string `json:"Do,omitempty"`
	}

	// AlarmName names an alarm as docs/OPERATIONS.md lists it.
	AlarmName string
)

// Alarms of the fleet.
const (
	AlarmNoLead         AlarmName = "NoLead"
	AlarmLeadUnreached  AlarmName = "LeadUnreached"
	AlarmVMUnreached    AlarmName = "VMUnreached"
	AlarmOldRevision    AlarmName = "OldRevision"
	AlarmUnconfirmed    AlarmName = "Unconfirmed"
	AlarmNoDocument     AlarmName = "NoDocument"
	AlarmQuarantine     AlarmName = "Quarantine"
	AlarmWorkersMissing AlarmName = "WorkersMissing"
	AlarmLongWait       AlarmName = "LongWait"
)

// Status returns the fleet sorted by name and VM id, with its newest revision and its alarms filled in. If the document
// is nil, there are no alarms about long waits.
func Status(fleet Fleet, document *envdoc.Document) Fleet {
	sort.Slice(fleet.DataCentres, func(i, j int) bool { return fleet.DataCentres[i].Name < fleet.DataCentres[j].Name })
	sort.Slice(fleet.VMs, func(i, j int) bool { return fleet.VMs[i].ID < fleet.VMs[j].ID })
	for _, vm := range fleet.VMs {
		fleet.Revision = max(fleet.Revision, vm.Revision)
	}
	fleet.Alarms = nil
	for _, vm := range fleet.VMs {
		fleet.checkVM(vm)
	}
	for _, dc := range fleet.DataCentres {
		fleet.checkDataCentre(dc, document)
	}
	return fleet
}

func (f *Fleet) raiseAlarm(name AlarmName, do, format string, args ...any) {
	f.Alarms = append(f.Alarms, Alarm{Name: name, Text: fmt.Sprintf(format, args...), Do: do})
}

// checkVM raises the first alarm that applies to a VM, if any.
func (f *Fleet) checkVM(vm VM) {
	switch {
	case !vm.Reached:
		f.raiseAlarm(AlarmVMUnreached, "look at the network if several of a data centre are missing",
			"VM %s in %s does not answer", vm.ID, vm.DataCentre)
	case vm.Revision == 0:
		f.raiseAlarm(AlarmNoDocument, "put a document, or look at the store", "VM %s has no document in force", vm.ID)
	case vm.Revision < f.Revision:
		f.raiseAlarm(AlarmOldRevision, "wait 20 s; if it stays, replace the VM or look at its log for a refused document",
			"VM %s has revision %d, not %d", vm.ID, vm.Revision, f.Revision)
	case vm.Age > maxConfirmationAge:
		f.raiseAlarm(AlarmUnconfirmed, "look at the store and the network between the data centres",
			"the store has not confirmed revision %d to VM %s for %s", vm.Revision, vm.ID, vm.Age.Round(time.Second))
	}
}

// checkDataCentre raises the alarms about a data centre. Without an answer of its leader nothing else is known of it.
func (f *Fleet) checkDataCentre(dc DataCentre, document *envdoc.Document) {
	if dc.Lead == "" {
		f.raiseAlarm(AlarmNoLead, "if it stays for a minute: look at the store and the VMs there",
			"%s has no lead; running tasks and requests go on, nothing new is placed", dc.Name)
		return
	}
	if !dc.Reached {
		f.raiseAlarm(AlarmLeadUnreached, "look at the network to "+string(dc.Name), "the lead of %s, %s, does not answer",
			dc.Name, dc.Lead)
		return
	}
	if dc.Quarantined > 0 {
		f.raiseAlarm(AlarmQuarantine, "explain the worker; replace it if probes keep failing",
			"%d of %d workers of %s are in quarantine", dc.Quarantined, dc.Workers, dc.Name)
	}
	if dc.Unreachable > 0 {
		f.raiseAlarm(AlarmWorkersMissing, "look at the rack or switch if they stand together",
			"%d of %d workers of %s do not answer", dc.Unreachable, dc.Workers, dc.Name)
	}
	f.checkWaits(dc, document)
}

// checkWaits raises an alarm for each class whose longest wait exceeds the time within which the document's policy
// wants its work to start.
func (f *Fleet) checkWaits(dc DataCentre, document *envdoc.Document) {
	if document == nil {
		return
	}
	for _, class := range types.Classes() {
		allowed := document.Policy(class).StartWithin
		if wait := dc.LongestWait[class]; wait > allowed {
			f.raiseAlarm(AlarmLongWait, "explain a waiting job; add workers or move quotas",
				"work of class %s has waited %s in %s, more than %s", class, wait.Round(time.Second), dc.Name, allowed)
		}
	}
}

// WriteText writes the status as text for a terminal.
func (f Fleet) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "environment %s, revision %d, at %s\n", f.Environment, f.Revision, f.At.Format(timeFormat))
	for _, dc := range f.DataCentres {
		f.writeDataCentre(&b, dc)
	}
	for _, vm := range f.VMs {
		writeVM(&b, vm)
	}
	if len(f.Alarms) == 0 {
		b.WriteString("no alarms\n")
	}
	for _, a := range f.Alarms {
		fmt.Fprintf(&b, "ALARM %s: %s", a.Name, a.Text)
		if a.Do != "" {
			fmt.Fprintf(&b, "; %s", a.Do)
		}
		b.WriteString("\n")
	}
	if _, err := io.WriteString(w, b.String()); err != nil {
		return errs.New(errs.Internal, "writing the status: %v", err)
	}
	return nil
}

func (f Fleet) writeDataCentre(b *strings.Builder, dc DataCentre) {
	leader := string(dc.Lead)
	if leader == "" {
		leader = "none"
	}
	fmt.Fprintf(b, "%s (%s): lead %s, epoch %d", dc.Name, dc.Region, leader, dc.Epoch)
	if dc.Reached {
		fmt.Fprintf(b, "; %d workers, %d in quarantine, %d unreachable; %d tasks run; waiting: %s; used %s of %s",
			dc.Workers, dc.Quarantined, dc.Unreachable, dc.Running, Classes(dc.Waiting), dc.Used, dc.Capacity)
	}
	b.WriteString("\n")
}

func writeVM(b *strings.Builder, vm VM) {
	if !vm.Reached {
		fmt.Fprintf(b, "  %s (%s): not reached\n", vm.ID, vm.DataCentre)
		return
	}
	draining := ""
	if vm.Draining {
		draining = ", draining"
	}
	fmt.Fprintf(b, "  %s (%s): revision %d, confirmed %s ago%s\n",
		vm.ID, vm.DataCentre, vm.Revision, vm.Age.Round(100*time.Millisecond), draining)
}
