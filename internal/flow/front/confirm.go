package front

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/access"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

const (
	// queryAgeDivisor sets the age of the confirmation, as a part of its greatest age, from which one peer is asked for a
	// younger one in each peerQueryInterval. While the store is reachable, the feed keeps the confirmation younger than that.
	queryAgeDivisor = 2
	// urgentAgeDivisor sets the last part of the greatest age in which urgentQueries peers are asked at once: 40 daemons can
	// be asked, and pass on what they learn, before the confirmation is too old to use.
	urgentAgeDivisor = 3
	urgentQueries    = 8
)

// Access returns what this daemon knows for the decision whether a call may be served. The catalog is nil until there is one.
func (f *Front) Access() access.View {
	_, confirmation := f.feed.Confirmation()
	return access.View{Confirmation: confirmation, Catalog: f.Catalog(), MaxAge: f.maxAge()}
}

// maxAge returns how old the confirmation of the catalog may be; 0 means that it may have any age.
func (f *Front) maxAge() time.Duration {
	if f.config.RevokeTimeout == nil {
		return 0
	}
	return access.MaxAge(f.config.RevokeTimeout())
}

// queryLoop asks the peers in turn for leader, catalog and confirmation while the store does not answer this daemon, or while
// the confirmation of the catalog grows old.
func (f *Front) queryLoop(ctx context.Context) {
	next := rand.Int()
	for ctx.Err() == nil {
		every.Sleep(ctx, f.config.Clock, peerQueryInterval)
		count := queryCount(f.Access())
		if !f.elector.StoreReachable() {
			count = max(count, 1)
		}
		if count == 0 {
			continue
		}
		var asked []peer.Target
		asked, next = nextTargets(f.otherMembers(), next, count)
		f.queryPeers(ctx, asked)
	}
}

// queryCount returns how many peers to ask for a younger confirmation.
func queryCount(v access.View) int {
	if v.MaxAge == 0 || v.Catalog == nil || !v.Catalog.NeedsKeys {
		return 0
	}
	switch age := v.Confirmation.Age; {
	case !v.Confirmation.Known || age > v.MaxAge-v.MaxAge/urgentAgeDivisor:
		return urgentQueries
	case age > v.MaxAge/queryAgeDivisor:
		return 1
	default:
		return 0
	}
}

// otherMembers returns the other daemons that are known to be alive, those of all data centres, in the order of their names.
func (f *Front) otherMembers() []peer.Target {
	out := slices.DeleteFunc(f.elector.Members(), func(t peer.Target) bool { return t.VM == f.config.Self.VM })
	slices.SortFunc(out, func(a, b peer.Target) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// nextTargets returns the targets that follow in round-robin order, at most count, and the index from which to go on.
func nextTargets(targets []peer.Target, next, count int) ([]peer.Target, int) {
	var out []peer.Target
	for range min(count, len(targets)) {
		next = (next + 1) % len(targets)
		out = append(out, targets[next])
	}
	return out, next
}

// queryPeers asks peers at the same time, and waits for their answers.
func (f *Front) queryPeers(ctx context.Context, members []peer.Target) {
	var wg sync.WaitGroup
	for _, m := range members {
		wg.Go(func() { f.queryPeer(ctx, m) })
	}
	wg.Wait()
}

// queryPeer asks a peer for leader, catalog and confirmation, and adopts what is newer than this daemon's.
func (f *Front) queryPeer(ctx context.Context, member peer.Target) {
	limited, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	reply := &PeekReply{}
	sentAt := f.feed.Uptime()
	if err := f.config.Peers.Call(limited, member, methodPeek, &Empty{}, reply); err != nil {
		f.config.Log.Debug().Err(err).Str("VM", string(member.VM)).Msg("peer did not answer the query for leader and catalog; asking the next one")
		return
	}
	f.elector.AdoptLeader(reply.Lead)
	if reply.Catalog <= f.feed.Version() {
		f.feed.AdoptConfirmation(reply.Catalog, access.Confirmation{Known: reply.Confirmed, Age: reply.ConfirmedAge}, sentAt)
		return
	}
	if err := f.feed.FetchNewer(ctx, member); err != nil {
		f.config.Log.Debug().Err(err).Str("VM", string(member.VM)).Msg("could not fetch the catalog of a peer; asking the next one")
	}
}
