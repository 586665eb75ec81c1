package lend

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

// notifyMargin is how many slots above its fair share an entry must hold to be notified.
const notifyMargin = 2

// requestNotify makes Run notify the entries that hold more than their fair share.
func (l *Lender) requestNotify() {
	every.Wake(l.notify)
}

// notifyHolders asks the entries that hold more than their fair share to call now: the reply to that call recalls the
// slots.
func (l *Lender) notifyHolders(ctx context.Context) {
	targets, args := l.holdersAboveFairShare()
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

func (l *Lender) holdersAboveFairShare() ([]peer.Target, PokeArgs) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Clock.Now()
	args := PokeArgs{DataCentre: l.config.Self.Site.DataCentre, Epoch: l.epoch, Lead: l.config.Self.VM}
	limitsByService := make(map[types.ServiceName]shareLimits)
	var out []peer.Target
	for _, h := range l.holders {
		if !h.superseded && now.Sub(h.notifiedAt) >= minNotifyInterval && l.isAboveFairShare(h, limitsByService, now) {
			h.notifiedAt = now
			out = append(out, h.target)
		}
	}
	return out, args
}

// isAboveFairShare reports whether the entry holds more than notifyMargin slots above its fair share of any service.
// limitsByService caches the limits between calls. The caller must hold l.mu.
func (l *Lender) isAboveFairShare(h *holderState, limitsByService map[types.ServiceName]shareLimits, now time.Time) bool {
	for service, held := range h.held {
		limits, ok := limitsByService[service]
		if !ok {
			limits = l.shareLimits(service, now)
			limitsByService[service] = limits
		}
		if held > h.fairShare(service, limits)+notifyMargin {
			return true
		}
	}
	return false
}
