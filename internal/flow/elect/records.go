package elect

import (
	"encoding/json"
	"strings"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/ledger"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// applyEntry applies one entry of the store to the known leader, epoch and members. The caller must hold e.mu.
func (e *Elector) applyEntry(entry store.Entry) {
	switch {
	case entry.Key == LeaderKey:
		e.applyLeader(entry)
	case entry.Key == ledger.EpochKey:
		e.applyEpoch(entry)
	case strings.HasPrefix(string(entry.Key), string(memberPrefix)):
		e.applyMember(entry)
	}
}

// applyLeader applies the leader record, and keeps a known leader of a newer epoch. The caller must hold e.mu.
func (e *Elector) applyLeader(entry store.Entry) {
	if entry.Deleted {
		e.record, e.leaderVersion = Leader{}, store.Absent
		if e.term == nil {
			e.leader = Leader{}
		}
		return
	}
	var leader Leader
	if err := json.Unmarshal(entry.Value, &leader); err != nil {
		e.config.Log.Error().Err(err).Msg("leader record is malformed; ignoring it")
		return
	}
	e.record, e.leaderVersion = leader, entry.Version
	if leader.Epoch >= e.leader.Epoch {
		e.leader = leader
		e.contact.awaited = 0
	}
}

// applyEpoch applies the epoch record if it is newer than the known one. The caller must hold e.mu.
func (e *Elector) applyEpoch(entry store.Entry) {
	var record epochRecord
	if entry.Deleted || json.Unmarshal(entry.Value, &record) != nil {
		e.config.Log.Error().Msg("epoch record is missing or malformed; keeping the last known epoch")
		return
	}
	if entry.Version > e.epochVersion {
		e.epochRecord, e.epochVersion = record, entry.Version
		e.rememberStrength(record.Strength)
	}
}

// applyMember applies the record of a member. The caller must hold e.mu.
func (e *Elector) applyMember(entry store.Entry) {
	vm := types.VMID(strings.TrimPrefix(string(entry.Key), string(memberPrefix)))
	if entry.Deleted {
		e.rememberStrength(e.members[vm].Strength)
		delete(e.members, vm)
		return
	}
	var m Member
	if err := json.Unmarshal(entry.Value, &m); err != nil {
		e.config.Log.Error().Err(err).Str("VM", string(vm)).Msg("member record is malformed; ignoring it")
		return
	}
	e.members[vm] = m
	e.rememberStrength(m.Strength)
}

// forgetMembers removes all members before they are listed anew. Those that the new list lacks were listed until now. The caller must hold
// e.mu.
func (e *Elector) forgetMembers() {
	for _, m := range e.members {
		e.rememberStrength(m.Strength)
	}
	clear(e.members)
}

// rememberStrength updates the highest Strength that was listed recently. The caller must hold e.mu.
func (e *Elector) rememberStrength(strength Strength) {
	now := e.config.Clock.Now()
	if strength >= e.strongest || now.Sub(e.strongestAt) > strengthMemory {
		e.strongest, e.strongestAt = strength, now
	}
}
