package front

import (
	"context"
	"sync"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/owner"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// maxNotes is of how many steps a daemon remembers the advice.
	maxNotes = 600
	// recallLimit limits a call for remembered advice.
	recallLimit = 400 * time.Millisecond
)

type (
	// RecallArgs names the steps of which a new lead wants to know the advice.
	RecallArgs struct{ Steps []specs.StepRef }

	// RecallReply is what a daemon remembers.
	RecallReply struct{ Notes []owner.CachedAdvice }

	// notebook keeps the advice that a daemon asked for, so that a new lead need not ask again.
	notebook struct {
		mu     sync.Mutex
		byStep map[specs.StepRef]*remembered
		oldest []specs.StepRef
	}

	remembered struct {
		note  owner.CachedAdvice
		until time.Time
	}
)

func newNotebook() notebook {
	return notebook{byStep: make(map[specs.StepRef]*remembered)}
}

// add remembers the answer to a call. A later answer about the same runners replaces the earlier one.
func (n *notebook) add(step specs.StepRef, asked []tasks.Incarnation, permits []agent.Permit, until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	former := n.byStep[step]
	if former == nil {
		n.oldest = append(n.oldest, step)
		former = &remembered{note: owner.CachedAdvice{Step: step}}
	}
	note := owner.CachedAdvice{Step: step, Asked: asked, Permits: permits}
	named := make(map[specs.RunnerID]bool, len(asked))
	for _, l := range asked {
		named[l.Runner] = true
	}
	for _, l := range former.note.Asked {
		if !named[l.Runner] {
			note.Asked = append(note.Asked, l)
		}
	}
	for _, p := range former.note.Permits {
		if !named[p.Runner] {
			note.Permits = append(note.Permits, p)
		}
	}
	n.byStep[step] = &remembered{note: note, until: until}
	for len(n.oldest) > maxNotes {
		delete(n.byStep, n.oldest[0])
		n.oldest = n.oldest[1:]
	}
}

// find returns what is remembered of the steps.
func (n *notebook) find(steps []specs.StepRef, now time.Time) []owner.CachedAdvice {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []owner.CachedAdvice
	for _, s := range steps {
		if r := n.byStep[s]; r != nil {
			note := r.note
			note.Left = r.until.Sub(now)
			out = append(out, note)
		}
	}
	return out
}

// Recall tells what this daemon remembers.
func (s *Service) Recall(args *RecallArgs, reply *RecallReply) error {
	reply.Notes = s.front.notes.find(args.Steps, s.front.config.Clock.Now())
	return nil
}

// recall collects what the daemons remember of the steps; take is called once for each that answers.
func (f *Front) recall(ctx context.Context, steps []specs.StepRef, take func([]owner.CachedAdvice)) {
	limited, cancel := context.WithTimeout(ctx, recallLimit)
	defer cancel()
	var all sync.WaitGroup
	for _, m := range f.advisers() {
		all.Go(func() { f.recallFrom(limited, m, steps, take) })
	}
	all.Wait()
}

func (f *Front) recallFrom(ctx context.Context, m peer.Target, steps []specs.StepRef, take func([]owner.CachedAdvice)) {
	if m.VM == f.config.Self.VM {
		take(f.notes.find(steps, f.config.Clock.Now()))
		return
	}
	reply := &RecallReply{}
	if err := f.config.Peers.Call(ctx, m, methodRecall, &RecallArgs{Steps: steps}, reply); err != nil {
		f.config.Log.Debug().Err(err).Str("VM", string(m.VM)).Msg("peer does not tell its advice")
		return
	}
	take(reply.Notes)
}
