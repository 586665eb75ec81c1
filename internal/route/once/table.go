package once

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
)

// Bounds of a table where the configuration states none.
const (
	DefaultMaxIDs   = 65_536
	DefaultMaxBytes = 16 << 20
	maxWaiters      = 10_000
	tickEvery       = 100 * time.Millisecond
	copyTimeout     = time.Second
)

type (
	// TableConfig holds what a Table needs.
	TableConfig struct {
		Self    peer.Target
		Clock   clockwork.Clock
		Peers   peer.Caller
		Audit   audit.Recorder
		Log     zerolog.Logger
		Metrics metrics.Registry
		// Copies returns the other entries of this data centre, which keep copies of final answers.
		Copies func() []peer.Target
		// Policy returns the document's policy of requests.
		Policy func() envdoc.RequestPolicy
		// MaxIDs bounds the ids that are kept; zero means DefaultMaxIDs.
		MaxIDs int
		// MaxBytes bounds the bodies that are kept; zero means DefaultMaxBytes.
		MaxBytes types.Bytes
	}

	// Table is the home's table of non-idempotent requests while this daemon is the lead, and this daemon's copies of
	// the final answers of other leads of its data centre. It is safe for concurrent use.
	Table struct {
		config TableConfig

		mu      sync.Mutex
		active  bool
		epoch   types.Epoch
		id      TableID
		current Generation
		low     Generation
		turned  time.Time
		records map[Generation]map[types.RequestID]*record
		count   int
		bodies  bodies
		waiters int
		outbox  []Copied
		kept    *archive
	}

	// record is what the home knows of one id.
	record struct {
		content types.Digest
		token   Token
		entry   types.VMID
		// answer is nil as long as the id is given out.
		answer *types.Answer
		// settled is closed once the answer is set.
		settled chan struct{}
	}
)

// NewTable returns a table of a daemon that is not the lead.
func NewTable(c TableConfig) *Table {
	if c.MaxIDs == 0 {
		c.MaxIDs = DefaultMaxIDs
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = DefaultMaxBytes
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return &Table{config: c, kept: newArchive(c.MaxIDs, c.MaxBytes)}
}

// Begin starts an empty table under the epoch and collects the answers that peers keep of earlier leads.
func (t *Table) Begin(ctx context.Context, epoch types.Epoch) {
	t.mu.Lock()
	t.leave()
	t.active = true
	t.epoch = epoch
	t.id = newTableID()
	t.current, t.low = 0, 0
	t.turned = t.config.Clock.Now()
	t.records = make(map[Generation]map[types.RequestID]*record)
	t.count = 0
	t.bodies = bodies{limit: t.config.MaxBytes}
	t.mu.Unlock()
	t.collect(ctx)
}

// End stops the table: its final answers stay as copies, and calls that wait are told that the home is gone.
func (t *Table) End() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leave()
}

func (t *Table) leave() {
	if !t.active {
		return
	}
	t.active = false
	for _, ids := range t.records {
		for _, r := range ids {
			t.leaveRecord(r)
		}
	}
	t.records = nil
}

func (t *Table) leaveRecord(r *record) {
	if r.answer == nil {
		close(r.settled)
		return
	}
	if r.answer.Outcome == types.OutcomeDone {
		t.kept.put(Copied{Content: r.content, Answer: *r.answer})
	}
}

// Run turns generations and hands out copies until ctx ends.
func (t *Table) Run(ctx context.Context) error {
	ticker := t.config.Clock.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			t.Tick(ctx)
		}
	}
}

// Tick starts a new generation when it is time and sends final answers to the peers that keep copies.
func (t *Table) Tick(ctx context.Context) {
	t.mu.Lock()
	if t.active {
		t.turn()
	}
	batch := t.outbox
	t.outbox = nil
	t.mu.Unlock()
	t.sendCopies(ctx, batch)
}

// turn starts a new generation after its part of the kept time, or when the current one has its part of the ids.
func (t *Table) turn() {
	keep := t.config.Policy().KeepAnswers / Generations
	old := t.config.Clock.Since(t.turned) >= keep
	full := len(t.records[t.current]) >= t.config.MaxIDs/(Generations+1)
	if !old && !full {
		return
	}
	t.current++
	t.turned = t.config.Clock.Now()
	for t.current-t.low > Generations {
		t.dropLowest()
	}
}

// dropLowest forgets the ids of the oldest generation. The low-water mark keeps them from running again.
func (t *Table) dropLowest() {
	for _, r := range t.records[t.low] {
		if r.answer == nil {
			close(r.settled)
		} else {
			t.bodies.drop(r)
		}
		t.count--
	}
	delete(t.records, t.low)
	t.low++
}

// mark returns what entries need to mint ids.
func (t *Table) mark() Mark {
	return Mark{Epoch: t.epoch, Table: t.id, Generation: t.current}
}

// parse returns the decoded id when this daemon is the lead of its home.
func (t *Table) parse(id types.RequestID) (types.MintedID, error) {
	minted, err := types.ParseID(string(id))
	if err != nil {
		return minted, err
	}
	if !t.active || minted.Home != t.config.Self.Site.DataCentre {
		return minted, errs.New(errs.Fenced, "%s is not the lead of %s", t.config.Self.VM, minted.Home)
	}
	if minted.Epoch > t.epoch {
		return minted, errs.New(errs.Fenced, "id %s is of epoch %d, after epoch %d", id, minted.Epoch, t.epoch)
	}
	return minted, nil
}

// isOpen tells whether an id that is not in the table has surely never run: it was minted for this table, within a
// generation that is still kept.
func (t *Table) isOpen(m Mark) bool {
	return m.Epoch == t.epoch && m.Table == t.id && m.Generation >= t.low && m.Generation <= t.current
}

func (t *Table) find(id types.RequestID, m Mark) (*record, bool) {
	if !t.isOpen(m) {
		return nil, false
	}
	r, ok := t.records[m.Generation][id]
	return r, ok
}

// closedForGood returns the answer to an id that cannot run at this table.
func (t *Table) closedForGood(id types.RequestID) *types.Answer {
	if c, ok := t.kept.get(id); ok {
		answer := c.Answer
		return &answer
	}
	return unknown(id, errs.New(errs.Fenced, "id %s is older than what its home keeps; it never runs from now on", id), t.config.Self)
}

func unknown(id types.RequestID, reason error, home peer.Target) *types.Answer {
	a := types.Refused(id, types.OutcomeUnknown, reason)
	a.AskAt = home.Site.DataCentre
	return a
}
