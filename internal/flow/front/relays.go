package front

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/elect"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/relay"
)

// directRunners is how many runners the strongest VM calls without relays; a weaker one calls fewer. The lease renewals
// and starts of that many take about a tenth of its processor.
const directRunners = 200

// newRelayClient returns the client through which this daemon calls the runners during a term. Its work ends with ctx.
func (f *Front) newRelayClient(ctx context.Context, t elect.Term) *relay.Client {
	return relay.NewClient(ctx, relay.ClientConfig{
		Session: relay.SessionID(fmt.Sprintf("%s/%d/%s", f.config.Self.VM, t.Epoch, uuid.NewString())),
		Self:    f.config.Self, Direct: f.config.Agents, MaxDirect: int(directRunners * float64(f.config.Strength)),
		Peers: f.config.Peers, Members: f.relayMembers, Clock: f.config.Clock, Log: f.config.Log, Metrics: f.config.Metrics,
	})
}

// relayMembers returns the daemons that may relay requests to runners.
func (f *Front) relayMembers() []relay.Member {
	var out []relay.Member
	for _, m := range f.elector.Roster() {
		out = append(out, relay.Member{Target: m.Target, Capacity: float64(m.Strength)})
	}
	return out
}
