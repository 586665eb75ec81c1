package lead

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/claim"
)

const (
	// interimTimeout is how long the store must be down and the leader gone before an interim leader takes over.
	interimTimeout = 3 * time.Second
)

// interim is the state of a daemon that keeps the tasks of its data centre running while the store is down and
// the leader is gone. It starts and ends nothing, so it needs no durable record.
type interim struct {
	tries           int
	leaderGoneSince time.Time
	// reports holds the latest report of each worker.
	reports map[types.VMID]worker.Report
}

// maybeBecomeInterim makes this daemon interim leader when the store is down, the leader is gone, and it has rank
// 0 among the live entry daemons. Two interim leaders at the same time do no harm: workers accept only the higher
// epoch, and neither starts or ends anything.
func (l *Leader) maybeBecomeInterim() {
	if l.steppedDown || l.standby.storeDownSince.IsZero() || l.standby.lastClaim.Epoch == 0 || l.isOwnerLive() {
		l.interim.leaderGoneSince = time.Time{}
		return
	}
	now := l.now()
	if l.interim.leaderGoneSince.IsZero() {
		l.interim.leaderGoneSince = now
	}
	due := now.Sub(l.interim.leaderGoneSince) >= interimTimeout && now.Sub(l.standby.storeDownSince) >= interimTimeout
	if !due || l.standby.busy || l.rank() != 0 || l.interim.tries >= claim.MaxTries {
		return
	}
	l.interim.tries++
	l.interim.leaderGoneSince = time.Time{}
	l.becomeInterim()
}

func (l *Leader) becomeInterim() {
	vms := l.workerList.vms
	l.changeRole(roleInterim, claim.Interim(l.standby.lastClaim.Epoch, l.interim.tries, l.cfg.Self.VM), "the store is down and the lead is gone")
	l.interim.reports = make(map[types.VMID]worker.Report)
	for _, vm := range vms {
		l.addNode(vm)
	}
}

func (l *Leader) isOwnerLive() bool {
	owner := l.standby.lastClaim.Owner
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

// interimTick renews the leases of running attempts, and tries to claim in case the store is back.
func (l *Leader) interimTick() {
	l.pollClaim()
	l.workerTick()
}

// endInterimTerm ends the interim term once the store shows that a live daemon holds the claim.
func (l *Leader) endInterimTerm(c claim.Claim) {
	if l.role != roleInterim || !l.isOwnerLive() {
		return
	}
	l.endTerm("the claim is held by " + string(c.Owner))
}

// recordInterimReport stores a worker's report. Ended attempts are not acknowledged, so that the next leader
// learns of them.
func (l *Leader) recordInterimReport(n *node, r worker.Report) {
	l.interim.reports[n.vm.ID] = r
	n.boot = r.Boot
	if !n.fenced {
		n.fenced = true
		n.nextCallAt = l.now()
	}
}

// interimAttempts returns the attempts that a worker last reported as not ended.
func (l *Leader) interimAttempts(n *node) []types.AttemptID {
	var out []types.AttemptID
	for _, s := range l.interim.reports[n.vm.ID].Attempts {
		if !s.Phase.Ended() {
			out = append(out, s.Attempt)
		}
	}
	return out
}
