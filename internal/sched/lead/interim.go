package lead

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/claim"
)

const (
	// interimAfter is how long the store and the lead must both be silent before an interim lead steps in.
	interimAfter = 3 * time.Second
)

// interim is the state of a daemon that keeps the tasks of its data centre running while the store is down
// and the lead is gone. It starts and ends nothing, so it needs no durable record.
type interim struct {
	try       int
	goneSince time.Time
	// reports holds what each worker reported last.
	reports map[types.VMID]worker.Report
}

// considerInterim makes this daemon interim lead when the store is down, the lead is gone, and it comes
// first among the live entry daemons. Two that both think so are harmless: workers keep to the higher
// epoch, and neither starts or ends anything.
func (l *Leader) considerInterim() {
	if l.retired || l.standby.downSince.IsZero() || l.standby.last.Epoch == 0 || l.ownerLives() {
		l.interim.goneSince = time.Time{}
		return
	}
	now := l.now()
	if l.interim.goneSince.IsZero() {
		l.interim.goneSince = now
	}
	ripe := now.Sub(l.interim.goneSince) >= interimAfter && now.Sub(l.standby.downSince) >= interimAfter
	if !ripe || l.standby.busy || l.rank() != 0 || l.interim.try >= claim.MaxTries {
		return
	}
	l.interim.try++
	l.interim.goneSince = time.Time{}
	l.becomeInterim()
}

func (l *Leader) becomeInterim() {
	known := l.listing.vms
	l.become(roleInterim, claim.Interim(l.standby.last.Epoch, l.interim.try, l.cfg.Self.VM), "the store is down and the lead is gone")
	l.interim.reports = make(map[types.VMID]worker.Report)
	for _, vm := range known {
		l.addNode(vm)
	}
}

func (l *Leader) ownerLives() bool {
	owner := l.standby.last.Owner
	if owner == l.cfg.Self.VM {
		return false
	}
	for _, e := range l.cfg.Entries() {
		if e.VM == owner {
			return true
		}
	}
	return false
}

// interimTick renews what runs, and looks for the store to come back.
func (l *Leader) interimTick() {
	l.pollClaim()
	l.renewTick()
}

// yieldToClaim ends the interim role once the store shows that a live daemon holds the claim.
func (l *Leader) yieldToClaim(c claim.Claim) {
	if l.role != roleInterim || !l.ownerLives() {
		return
	}
	l.depose("the claim is held by " + string(c.Owner))
}

// interimReport keeps a worker's report. Ended attempts are not acknowledged, so the next lead learns of them.
func (l *Leader) interimReport(n *node, r worker.Report) {
	l.interim.reports[n.vm.ID] = r
	n.boot = r.Boot
	if !n.fenced {
		n.fenced = true
		n.nextRenew = l.now()
	}
}

// interimRunning returns the attempts that a worker reported as running.
func (l *Leader) interimRunning(n *node) []types.AttemptID {
	var out []types.AttemptID
	for _, s := range l.interim.reports[n.vm.ID].Attempts {
		if !s.Phase.Ended() {
			out = append(out, s.Attempt)
		}
	}
	return out
}
