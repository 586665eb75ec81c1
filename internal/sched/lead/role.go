package lead

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/commit"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// changeRole changes the role and resets all state of the former one. Results of earlier operations are
// discarded. The caller must hold mu.
func (l *Leader) changeRole(r role, epoch types.Epoch, cause string) {
	l.reset()
	l.role = r
	l.epoch = epoch
	l.term++
	verb := audit.VerbClaim
	if r == roleStandby {
		verb = audit.VerbStepDown
	}
	l.recordAudit(verb, string(l.dataCentre()), cause)
	l.cfg.Log.Info().Str("Role", string(r)).Uint64("Epoch", uint64(epoch)).Str("Cause", cause).Msg("role changed")
	l.epochChanges = append(l.epochChanges, epochChange{epoch: epoch, leading: r != roleStandby})
}

// notifyEpochChanges calls OnEpoch for the recorded changes of role, in order and without mu held.
func (l *Leader) notifyEpochChanges() {
	l.notifyMu.Lock()
	defer l.notifyMu.Unlock()
	l.mu.Lock()
	changes := l.epochChanges
	l.epochChanges = nil
	l.mu.Unlock()
	for _, c := range changes {
		l.cfg.OnEpoch(c.epoch, c.leading)
	}
}

// endTerm ends the term: the daemon becomes a standby. Callers that wait for a commit get an error that says
// whether the outcome is known. The caller must hold mu.
func (l *Leader) endTerm(cause string) {
	l.writer.failAll()
	l.changeRole(roleStandby, l.epoch, cause)
}

func (l *Leader) reset() {
	l.journal = nil
	l.committedState = commit.NewCommittedState()
	l.writer = writer{}
	l.claimRenewal = claimRenewal{}
	l.state = table.New(l.dataCentre())
	l.state.Observer = l.recordTransition
	l.attempts = make(map[types.TaskID]*attempt)
	l.nodes = make(map[types.VMID]*node)
	l.lateResults = make(map[types.AttemptID]bool)
	l.services = services{}
	l.summaries = summaries{}
	l.offers = make(map[types.JobID]*offer)
	l.interim.reports = nil
	l.standby.busy = false
	l.standby.nextPollAt = time.Time{}
	l.workerList.busy = false
}
