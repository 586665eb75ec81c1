package lend

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

// pokeMargin is how many slots over its fair part an entry must hold to be poked.
const pokeMargin = 2

// wakePoke makes Run poke the entries that hold more than their fair part.
func (l *Lender) wakePoke() {
	select {
	case l.poke <- struct{}{}:
	default:
	}
}

// pokeAll asks entries that hold more than their fair part to call now, so that they learn what to give back.
func (l *Lender) pokeAll(ctx context.Context) {
	targets, args := l.overfull()
	if len(targets) == 0 {
		return
	}
	limited, cancel := clockwork.WithTimeout(ctx, l.config.Clock, callTimeout)
	defer cancel()
	var w sync.WaitGroup
	for _, target := range targets {
		w.Go(func() {
			if err := l.config.Peers.Call(limited, target, methodPoke, &args, &PokeReply{}); err != nil {
				metrics.GetOrRegisterCounter("Lend.PokeFailures", l.config.Metrics).Inc(1)
			}
		})
	}
	w.Wait()
}

func (l *Lender) overfull() ([]peer.Target, PokeArgs) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Clock.Now()
	args := PokeArgs{DataCentre: l.config.Self.Site.DataCentre, Epoch: l.epoch, Lead: l.config.Self.VM}
	parts := make(map[types.ServiceName]levels)
	var out []peer.Target
	for _, h := range l.holders {
		if !h.ended && now.Sub(h.pokedAt) >= pokeEvery && l.isOverfull(h, parts, now) {
			h.pokedAt = now
			out = append(out, h.target)
		}
	}
	return out, args
}

func (l *Lender) isOverfull(h *holding, parts map[types.ServiceName]levels, now time.Time) bool {
	for service, held := range h.held {
		levels, ok := parts[service]
		if !ok {
			levels = l.levels(service, now)
			parts[service] = levels
		}
		if held > h.fairPart(service, levels)+pokeMargin {
			return true
		}
	}
	return false
}
