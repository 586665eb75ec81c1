package once

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

type (
	// LedgerHead describes a ledger that is transferred to a new leader.
	LedgerHead struct {
		ID      TableID
		Epoch   types.Epoch
		Current Generation
		Low     Generation
	}

	// Moved is one record that is transferred to a new leader.
	Moved struct {
		Table      TableID
		Generation Generation
		ID         types.RequestID
		Content    types.Digest
		Token      Token
		Entry      types.VMID
		Answer     *types.Answer
	}

	// YieldArgs asks a peer that may have been the leader earlier to transfer its ledgers to the new leader Lead. From
	// is the index of the first record of the page.
	YieldArgs struct {
		DataCentre types.DataCentre
		Epoch      types.Epoch
		Lead       types.VMID
		From       int
	}

	// YieldReply is one page of the ledgers. Next is the index of the first record after it; More means that another
	// page follows.
	YieldReply struct {
		Heads   []LedgerHead
		Records []Moved
		Next    int
		More    bool
	}

	// successor is the one leader to which this daemon's ledgers were transferred.
	successor struct {
		leader types.VMID
		epoch  types.Epoch
	}
)

// yield stops this table and permanently transfers its ledgers to the leader of a later epoch. It transfers them to one
// leader only, because that one may grant their ids from then on.
func (t *Table) yield(args *YieldArgs) (*YieldReply, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if args.DataCentre != t.config.Self.Site.DataCentre || args.Epoch <= t.epoch {
		return nil, errs.New(errs.Fenced, "epoch %d of %s is not later than epoch %d", args.Epoch, args.DataCentre, t.epoch)
	}
	to := successor{leader: args.Lead, epoch: args.Epoch}
	if t.yieldedTo == (successor{}) {
		t.suspend()
		t.yieldedTo = to
		t.exportedRecords = t.exportRecords()
	}
	if t.yieldedTo != to {
		return nil, errs.New(errs.Conflict, "the ledgers were transferred to %s under epoch %d", t.yieldedTo.leader, t.yieldedTo.epoch)
	}
	reply := t.yieldPage(args.From)
	if !reply.More && t.handoverDone != nil {
		close(t.handoverDone)
		t.handoverDone = nil
	}
	return reply, nil
}

// AwaitYield waits at most for the timeout until a later leader has read the ledgers of this daemon, and reports
// whether one has. It returns true at once when there are none to hand over. A process that shuts down calls it after
// it has released the claim.
func (t *Table) AwaitYield(ctx context.Context, timeout time.Duration) bool {
	t.mu.Lock()
	handoverDone := t.handoverDone
	t.mu.Unlock()
	if handoverDone == nil {
		return true
	}
	timer := t.config.Clock.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-handoverDone:
		return true
	case <-timer.Chan():
	case <-ctx.Done():
	}
	return false
}

// suspend ends this daemon's term as leader: no id of its ledgers is granted any more. The caller must hold t.mu.
func (t *Table) suspend() {
	if !t.active {
		return
	}
	t.active = false
	t.suspendedAt = t.config.Clock.Now()
	for _, g := range t.ledgers {
		for _, ids := range g.records {
			for _, r := range ids {
				t.suspendRecord(r)
			}
		}
	}
}

// suspendRecord ends the wait for a record without an answer, and copies an answer with the outcome Done to the
// archive. The caller must hold t.mu.
func (t *Table) suspendRecord(r *record) {
	if r.answer == nil {
		close(r.done)
		return
	}
	if r.answer.Outcome == types.OutcomeDone {
		t.archive.put(Copied{Content: r.content, Answer: *r.answer})
	}
}

// exportRecords returns all records of the ledgers, in no particular order. The caller must hold t.mu.
func (t *Table) exportRecords() []Moved {
	out := make([]Moved, 0, t.recordCount)
	for _, g := range t.ledgers {
		for generation, ids := range g.records {
			for id, r := range ids {
				out = append(out, Moved{
					Table: g.id, Generation: generation, ID: id,
					Content: r.content, Token: r.token, Entry: r.entry, Answer: r.answer,
				})
			}
		}
	}
	return out
}

// yieldPage returns the page of exportedRecords that begins at the index, and the heads of all ledgers. A page holds at
// most maxPageRecords records, and no record follows once the bodies reach maxPageBytes. The caller must hold t.mu.
func (t *Table) yieldPage(from int) *YieldReply {
	reply := &YieldReply{}
	for _, g := range t.ledgers {
		reply.Heads = append(reply.Heads, LedgerHead{ID: g.id, Epoch: g.epoch, Current: g.current, Low: g.low})
	}
	size := 0
	i := min(max(0, from), len(t.exportedRecords))
	for ; i < len(t.exportedRecords) && len(reply.Records) < maxPageRecords && size < maxPageBytes; i++ {
		reply.Records = append(reply.Records, t.exportedRecords[i])
		if a := t.exportedRecords[i].Answer; a != nil {
			size += len(a.Body)
		}
	}
	reply.Next, reply.More = i, i < len(t.exportedRecords)
	return reply
}

// resume makes the ledgers of this daemon's own earlier terms usable again. If they were transferred to another leader,
// it removes them instead. The caller must hold t.mu.
func (t *Table) resume() {
	t.suspend()
	if t.yieldedTo != (successor{}) {
		t.resetLedgers()
	}
	for _, g := range t.ledgers {
		for _, ids := range g.records {
			for _, r := range ids {
				if r.answer == nil {
					r.done = make(chan struct{})
				}
			}
		}
	}
}

// resetLedgers removes all ledgers and records. The caller must hold t.mu.
func (t *Table) resetLedgers() {
	t.ledgers = make(map[TableID]*ledger)
	t.exportedRecords = nil
	t.recordCount = 0
	t.yieldedTo = successor{}
	t.bodies = bodyCache{limit: t.config.MaxBytes}
}

// expireLedgers removes the ledgers of an ended term after the retention of answers, also when no later leader has
// asked for them. The caller must hold t.mu.
func (t *Table) expireLedgers() {
	if t.active || len(t.ledgers) == 0 || t.starting {
		return
	}
	if t.config.Clock.Since(t.suspendedAt) >= t.config.Policy().KeepAnswers {
		t.resetLedgers()
	}
}

// adoptLedgersFrom reads the ledgers of one peer page by page and adopts them. If a call fails, it adopts none of them.
func (t *Table) adoptLedgersFrom(ctx context.Context, from peer.Target, epoch types.Epoch) {
	args := YieldArgs{DataCentre: t.config.Self.Site.DataCentre, Epoch: epoch, Lead: t.config.Self.VM}
	var heads []LedgerHead
	var records []Moved
	for {
		var reply YieldReply
		if err := t.config.Peers.Call(ctx, from, methodYield, &args, &reply); err != nil {
			metrics.GetOrRegisterCounter("Once.YieldFailures", t.config.Metrics).Inc(1)
			return
		}
		heads = reply.Heads
		records = append(records, reply.Records...)
		if !reply.More || reply.Next <= args.From || len(records) > t.config.MaxIDs {
			break
		}
		args.From = reply.Next
	}
	t.adoptLedgers(heads, records, epoch)
}

func (t *Table) adoptLedgers(heads []LedgerHead, records []Moved, epoch types.Epoch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.epoch != epoch || !t.starting {
		return
	}
	for _, h := range heads {
		if _, ok := t.ledgers[h.ID]; !ok {
			t.ledgers[h.ID] = &ledger{
				id: h.ID, epoch: h.Epoch, current: h.Current, low: h.Low,
				records: make(map[Generation]map[types.RequestID]*record),
			}
		}
	}
	for _, m := range records {
		t.adoptRecord(m)
	}
}

// adoptRecord adds a transferred record to its ledger, unless the ledger is not known. The caller must hold t.mu.
func (t *Table) adoptRecord(m Moved) {
	g, ok := t.ledgers[m.Table]
	if !ok {
		return
	}
	r := &record{content: m.Content, token: m.Token, entry: m.Entry, answer: m.Answer, done: make(chan struct{})}
	if r.answer != nil {
		close(r.done)
		t.bodies.add(r)
	}
	g.put(m.ID, m.Generation, r)
	t.recordCount++
}
