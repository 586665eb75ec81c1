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
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
)

// Bounds and intervals of a table. The default bounds apply where the configuration sets none.
const (
	DefaultMaxIDs   = 65_536
	DefaultMaxBytes = 16 << 20
	maxWaiters      = 10_000
	tickInterval    = 100 * time.Millisecond
	copyTimeout     = time.Second
)

type (
	// TableConfig holds the settings and dependencies of a Table.
	TableConfig struct {
		Self    peer.Target
		Clock   clockwork.Clock
		Peers   peer.Caller
		Audit   audit.Recorder
		Log     zerolog.Logger
		Metrics metrics.Registry
		// Copies returns the other entries of this data centre, which keep copies of final answers.
		Copies func() []peer.Target
		// FormerLeaders returns the entries of this data centre that may have been its leader before, including
		// draining ones; nil means Copies.
		FormerLeaders func() []peer.Target
		// Policy returns the request policy of the environment document.
		Policy func() envdoc.RequestPolicy
		// MaxIDs bounds the ids in the table, and the answers in the archive; zero means DefaultMaxIDs.
		MaxIDs int
		// MaxBytes bounds the sum of the bodies in the table, and in the archive; zero means DefaultMaxBytes.
		MaxBytes types.Bytes
	}

	// Table is the home's table of non-idempotent requests while this daemon is the leader, and this daemon's copies of
	// the final answers of other leaders of its data centre. It is safe for concurrent use.
	Table struct {
		config TableConfig

		mu     sync.Mutex
		active bool
		// starting is true while Begin collects the ledgers and copies of earlier leaders.
		starting bool
		epoch    types.Epoch
		own      *ledger
		// ledgers holds the own ledger and those adopted from earlier leaders.
		ledgers             map[TableID]*ledger
		generationStartedAt time.Time
		recordCount         int
		bodies              bodyCache
		waiters             int
		outbox              []Copied
		archive             *archive
		suspendedAt         time.Time
		yieldedTo           successor
		exportedRecords     []Moved
		// handoverDone is closed once a later leader has read all ledgers. It is nil before this daemon first leads and
		// after the handover.
		handoverDone chan struct{}
	}
)

// NewTable returns the table of a daemon that is not the leader.
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
	if c.FormerLeaders == nil {
		c.FormerLeaders = c.Copies
	}
	t := &Table{config: c, archive: newArchive(c.MaxIDs, c.MaxBytes)}
	t.resetLedgers()
	return t
}

// Begin starts a table under the epoch. It first collects the ledgers of earlier leaders of the data centre and the
// copies of their answers; calls that arrive before that is done fail with Fenced, so that clients retry them.
func (t *Table) Begin(ctx context.Context, epoch types.Epoch) {
	t.mu.Lock()
	t.resume()
	t.starting = true
	t.epoch = epoch
	t.mu.Unlock()
	t.collectFromFormerLeaders(ctx, epoch)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.epoch != epoch || !t.starting {
		return
	}
	t.own = newLedger(epoch)
	t.handoverDone = make(chan struct{})
	t.ledgers[t.own.id] = t.own
	t.generationStartedAt = t.config.Clock.Now()
	t.active, t.starting = true, false
}

// End stops the table. Its ledgers are kept for the next leader, and waiting calls fail with Fenced, so that clients
// retry them at that leader.
func (t *Table) End() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.starting = false
	t.suspend()
}

// Run calls Tick at each tickInterval until ctx ends.
func (t *Table) Run(ctx context.Context) error {
	return every.Run(ctx, t.config.Clock, tickInterval, t.Tick)
}

// Tick starts a new generation when one is due, removes expired ledgers, and sends new final answers to the peers that
// keep copies.
func (t *Table) Tick(ctx context.Context) {
	t.mu.Lock()
	if t.active {
		t.advanceGeneration()
	}
	t.expireLedgers()
	batch := t.outbox
	t.outbox = nil
	t.mu.Unlock()
	t.sendCopies(ctx, batch)
}

// advanceGeneration starts a new generation when the current one has lasted its share of the retention of answers, when
// it holds its share of MaxIDs, or when the table is full. It then purges the lowest generation of each adopted ledger,
// and those of the own ledger beyond Generations. The caller must hold t.mu.
func (t *Table) advanceGeneration() {
	generationLifetime := t.config.Policy().KeepAnswers / Generations
	old := t.config.Clock.Since(t.generationStartedAt) >= generationLifetime
	full := len(t.own.records[t.own.current]) >= t.config.MaxIDs/(Generations+1) || t.recordCount >= t.config.MaxIDs
	if !old && !full {
		return
	}
	t.own.current++
	t.generationStartedAt = t.config.Clock.Now()
	for t.own.current-t.own.low > Generations {
		t.purgeLowest(t.own)
	}
	for id, g := range t.ledgers {
		if g != t.own {
			t.purgeLowest(g)
		}
		if g.isClosed() {
			delete(t.ledgers, id)
		}
	}
}

func (t *Table) purgeLowest(g *ledger) {
	for _, r := range g.purgeLowest() {
		if r.answer == nil {
			close(r.done)
		} else {
			t.bodies.remove(r)
		}
		t.recordCount--
	}
}

// currentMark returns what entries need to mint ids. The caller must hold t.mu.
func (t *Table) currentMark() Mark {
	return Mark{Epoch: t.epoch, Table: t.own.id, Generation: t.own.current}
}

// parseOwnID decodes an id. It fails with Fenced unless this daemon is the leader of the id's home, under the epoch of
// the id or a later one. The caller must hold t.mu.
func (t *Table) parseOwnID(id types.RequestID) (types.MintedID, error) {
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

// findOpenLedger returns the ledger of the mark, and whether the generation of the mark is open. An id of an open
// generation that has no record has certainly never run.
func (t *Table) findOpenLedger(m Mark) (*ledger, bool) {
	g, ok := t.ledgers[m.Table]
	return g, ok && g.isOpen(m)
}

// closedAnswer returns the answer to an id whose generation is not open here: the archived answer, or Unknown. Such an
// id never runs.
func (t *Table) closedAnswer(id types.RequestID) *types.Answer {
	if c, ok := t.archive.get(id); ok {
		answer := c.Answer
		return &answer
	}
	return unknownAnswer(id, errs.New(errs.Fenced, "id %s is older than what its home keeps; it does not run", id), t.config.Self)
}

func unknownAnswer(id types.RequestID, reason error, home peer.Target) *types.Answer {
	a := types.NewUnfinishedAnswer(id, types.OutcomeUnknown, reason)
	a.AskAt = home.Site.DataCentre
	return a
}
