package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// Run sends the write until its outcome is known or ctx ends. It returns an error of kind Fenced when another leader
// took over, Lost when ctx ended with the write in doubt, and another kind when the store refuses the write for good. While a try is unanswered, another is sent in parallel:
// the condition on the slot lets the write take effect only once, and the answer to any try counts, however late. While the store
// answers no write, only the oldest one is tried again.
func (w *Write) Run(ctx context.Context) error {
	l := w.ledger
	l.progress.begin(w.segment.Number)
	defer l.progress.end(w.segment.Number)
	version, err := l.retry(ctx, retryConfig{
		what:       fmt.Sprintf("segment %d", w.segment.Number),
		apply:      w.apply,
		mayRetry:   func(triedAt time.Time) bool { return l.progress.mayRetry(w.segment.Number, triedAt) },
		tryTimeout: l.tryTimeout,
		maxExtra:   maxExtraTries,
		onFailure:  l.config.OnFailure,
		onAnswer:   l.noteAnswer,
	})
	w.version = version
	return err
}

// noteAnswer records how long the store took to answer a write.
func (l *Ledger) noteAnswer(took time.Duration) {
	l.observeLatency(took)
	l.progress.noteAnswer(l.config.Clock.Now())
}

func (w *Write) apply(ctx context.Context) (store.Version, error) {
	callCtx, cancel := context.WithTimeout(ctx, maxTryTimeout)
	defer cancel()
	out, err := w.ledger.config.Store.Apply(callCtx, w.batch)
	if err != nil {
		return 0, err
	}
	if out.Applied {
		return out.Version, nil
	}
	return w.resolve(out)
}

// resolve finds out why the conditions of a write did not hold: its own segment in the slot means that an earlier try
// took effect, another epoch that another leader took over. The error is of kind Conflict if the epoch is still that of this leader.
func (w *Write) resolve(out store.Outcome) (store.Version, error) {
	found := out.Find(w.key)
	if found.Version != store.Absent {
		var present segment
		if err := json.Unmarshal(found.Value, &present); err != nil {
			return 0, errs.New(errs.Internal, "segment %s is malformed: %v", w.key, err)
		}
		if present.Epoch == w.segment.Epoch && present.Number == w.segment.Number {
			return found.Version, nil
		}
	}
	if out.Find(EpochKey).Version == w.ledger.config.EpochVersion {
		return 0, errs.New(errs.Conflict, "%s is not at version %d, though no other leader can write it", w.key, w.batch.Conditions[1].Expect)
	}
	return 0, errs.New(errs.Fenced, "epoch %d was superseded by that of another leader", w.segment.Epoch)
}

// tryTimeout returns how long a try of a write may go unanswered before another is sent in parallel.
func (l *Ledger) tryTimeout() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(max(tryTimeoutFactor*l.usualLatency, minTryTimeout), maxTryTimeout)
}

// observeLatency adds the duration of an answered try to the moving average.
func (l *Ledger) observeLatency(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usualLatency += (d - l.usualLatency) / latencyWeightDivisor
}
