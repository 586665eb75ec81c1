package owner

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// listDelay lets changes of the directory accumulate, so that one call returns many. After manyChanges or more, the
	// next call follows at once: a call may return only a part of the changes, and the tables must not fall behind.
	listDelay   = 250 * time.Millisecond
	manyChanges = 200
	// changesTimeout limits a call that waits for changes. Runners write to the directory all the time, so a watch that
	// returns nothing for longer has stopped delivering changes. listTimeout limits the reading of the whole directory, which
	// grows with the fleet; a store that does not answer is given up sooner by its client.
	changesTimeout = 1600 * time.Millisecond
	listTimeout    = 20 * time.Second
	// maxDirectoryAge is how old the tables' knowledge of the directory may be when a task starts. A leader that cannot
	// read the directory does not learn which runners are draining, though it may still reach them through relays.
	maxDirectoryAge = 2 * time.Second
)

// directoryList is the whole directory as it was at askedAt, or the error of its reading.
type directoryList struct {
	runners []agent.Runner
	version uint64
	askedAt time.Time
	err     error
}

// directoryLoop keeps the runners in the tables up to date with the directory.
func (o *Owner) directoryLoop() {
	var version uint64
	listed := false
	for o.ctx.Err() == nil {
		count, err := o.readDirectory(&version, &listed)
		if errs.Is(err, errs.Conflict) {
			o.config.Log.Info().Msg("directory history is no longer available; reading the whole list")
			listed = false
			continue
		}
		if err != nil && o.ctx.Err() == nil {
			// The next watch may not report what changed meanwhile.
			listed = false
			o.config.Log.Warn().Err(err).Msg("reading the directory of runners failed; reading the whole list next")
		}
		if count < manyChanges {
			o.sleep(listDelay)
		}
	}
}

// readDirectory reads the whole directory unless listed is set, else waits for the changes after lastVersion. It returns
// the number of changes.
func (o *Owner) readDirectory(lastVersion *uint64, listed *bool) (int, error) {
	if !*listed {
		return 0, o.listDirectory(lastVersion, listed)
	}
	ctx, cancel := context.WithTimeout(o.ctx, changesTimeout)
	defer cancel()
	changes, version, err := o.config.Directory.Changes(ctx, *lastVersion)
	if err != nil {
		return 0, err
	}
	*lastVersion = version
	o.applyChanges(changes)
	return len(changes), nil
}

// beginList begins to read the whole directory for the first read of directoryLoop. The directory does not depend on the ledger, so a
// new leader reads both at the same time.
func (o *Owner) beginList() {
	o.firstList = make(chan directoryList, 1)
	first := o.firstList
	o.loops.Go(o.guarded("directory of runners", func() { first <- o.readList() }))
}

// readList reads the whole directory.
func (o *Owner) readList() directoryList {
	ctx, cancel := context.WithTimeout(o.ctx, listTimeout)
	defer cancel()
	out := directoryList{askedAt: o.config.Clock.Now()}
	out.runners, out.version, out.err = o.config.Directory.List(ctx)
	return out
}

// nextList returns the list that beginList reads, if it was not taken yet, or reads one.
func (o *Owner) nextList() directoryList {
	if o.firstList == nil {
		return o.readList()
	}
	first := o.firstList
	o.firstList = nil
	select {
	case list := <-first:
		return list
	case <-o.ctx.Done():
		return directoryList{err: errs.New(errs.Unavailable, "the term has ended")}
	}
}

// listDirectory reads the whole directory, or takes the list that beginList has read, and applies it.
func (o *Owner) listDirectory(lastVersion *uint64, listed *bool) error {
	list := o.nextList()
	if list.err != nil {
		return list.err
	}
	*lastVersion, *listed = list.version, true
	o.applyList(list.runners, list.askedAt)
	return nil
}

// applyChanges applies changes of the directory, in order.
func (o *Owner) applyChanges(changes []agent.Change) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(changes) < manyChanges {
		o.directoryAt = o.config.Clock.Now()
	}
	for _, c := range changes {
		if c.Gone {
			o.runnerRemoved(c.Runner.ID)
		} else {
			o.applyEntry(c.Runner)
		}
	}
}

// applyList applies the whole directory as it was at the given time: runners that it does not name are marked as removed.
func (o *Owner) applyList(runners []agent.Runner, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.directoryAt = at
	present := make(map[specs.RunnerID]bool, len(runners))
	for _, r := range runners {
		present[r.ID] = true
		o.applyEntry(r)
	}
	for id := range o.table.Runners {
		if !present[id] {
			o.runnerRemoved(id)
		}
	}
}

// knowsDirectory reports whether the tables' knowledge of the directory is recent enough to start tasks. The caller must
// hold o.mu.
func (o *Owner) knowsDirectory() bool {
	return o.config.Clock.Since(o.directoryAt) <= maxDirectoryAge
}
