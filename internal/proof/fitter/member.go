package fitter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/member"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/vmlist"
)

const (
	memberSeconds      = 12
	warmUpSeconds      = 6
	mechanismHeartbeat = "`node/member`: a heartbeat to each entry of the data centre every second, to the lead of each other data centre every 3 s"
)

type (
	// traffic is the number of calls that one daemon made and received, and their bytes.
	traffic struct {
		messages int
		bytes    int
	}

	// countingCaller makes the calls of one daemon and counts each for both ends.
	countingCaller struct {
		peer.Caller
		self   types.VMID
		totals *trafficTotals
	}

	// trafficTotals is the traffic of all daemons. It is safe for concurrent use.
	trafficTotals struct {
		mu   sync.Mutex
		byVM map[types.VMID]*traffic
	}

	// memberGroup is the members of several data centres on a fake clock. The first entry of each data centre leads.
	memberGroup struct {
		clock   *clockwork.FakeClock
		members []*member.Member
		totals  *trafficTotals
	}
)

func memberMeasures() []Measure {
	entries := func(b Budget, get func(traffic) int) Measure {
		return Measure{
			Role: RoleEntry, Duty: "heartbeats", Budget: b, Mechanism: mechanismHeartbeat,
			Driver: "entries of the data centre", Sizes: []int{2, 3, 4}, AtTarget: EntriesPerDataCentre, Exact: true,
			Run: func(size int) (float64, error) { return heartbeatRate(TargetDataCentres, size, false, get) },
		}
	}
	leaders := func(b Budget, get func(traffic) int) Measure {
		return Measure{
			Role: RoleLeader, Duty: "heartbeats of other data centres", Budget: b, Mechanism: mechanismHeartbeat,
			Driver: "data centres", Sizes: []int{2, 4, 8}, AtTarget: TargetDataCentres, Exact: true,
			Run: func(size int) (float64, error) { return extraLeaderRate(size, get) },
		}
	}
	messages := func(t traffic) int { return t.messages }
	bytes := func(t traffic) int { return t.bytes }
	return []Measure{
		entries(Messages, messages), entries(Control, bytes), leaders(Messages, messages), leaders(Control, bytes),
	}
}

// extraLeaderRate returns how much more traffic a second a leader has than the other entries.
func extraLeaderRate(sites int, get func(traffic) int) (float64, error) {
	leader, err := heartbeatRate(sites, EntriesPerDataCentre, true, get)
	if err != nil {
		return 0, err
	}
	entry, err := heartbeatRate(sites, EntriesPerDataCentre, false, get)
	return leader - entry, err
}

// heartbeatRate returns the mean traffic a second of the leaders or of the other entries.
func heartbeatRate(sites, entries int, leaders bool, get func(traffic) int) (float64, error) {
	g, err := newMemberGroup(sites, entries)
	if err != nil {
		return 0, err
	}
	g.runFor(warmUpSeconds)
	g.totals.reset()
	g.runFor(memberSeconds)
	sum, count := 0, 0
	for id, t := range g.totals.byVM {
		if isLeader(id) != leaders {
			continue
		}
		sum += get(*t)
		count++
	}
	return float64(sum) / float64(count) / memberSeconds, nil
}

func newMemberGroup(sites, entries int) (*memberGroup, error) {
	g := &memberGroup{clock: clockwork.NewFakeClock(), totals: &trafficTotals{byVM: make(map[types.VMID]*traffic)}}
	list := vmlist.NewMemory(g.clock, regionOf(0), 0)
	network := peer.NewNetwork()
	for s := range sites {
		for e := range entries {
			if err := g.addMember(network, list, s, e); err != nil {
				return nil, err
			}
		}
	}
	return g, nil
}

func (g *memberGroup) addMember(network *peer.Network, list *vmlist.Memory, site, entry int) error {
	self := targetOf(site, entry)
	list.Set(types.VM{ID: self.VM, Role: types.RoleEntry, State: types.VMLive, Site: self.Site, Address: self.Address})
	node := network.Join(self, meter.Discard())
	m, err := member.New(member.Config{
		Self: self, Clock: g.clock, VMs: list.As(self.Site.DataCentre, meter.Discard()),
		Peers: &countingCaller{Caller: node, self: self.VM, totals: g.totals}, Registrar: node,
		Log: zerolog.Nop(), Metrics: metrics.NewRegistry(),
	})
	if err != nil {
		return err
	}
	if entry == 0 {
		m.SetLeading(1)
	}
	g.members = append(g.members, m)
	return nil
}

func (g *memberGroup) runFor(seconds int) {
	for range seconds {
		g.clock.Advance(time.Second)
		for _, m := range g.members {
			m.Tick(context.Background())
		}
	}
}

// Call makes a call and counts it for the caller and for the daemon that is called. The reply counts only if the call
// succeeded.
func (c *countingCaller) Call(ctx context.Context, to peer.Target, method peer.Method, args, reply any) error {
	err := c.Caller.Call(ctx, to, method, args, reply)
	size := peer.Size(args)
	if err == nil {
		size += peer.Size(reply)
	}
	c.totals.add(c.self, size)
	c.totals.add(to.VM, size)
	return err
}

func (t *trafficTotals) add(id types.VMID, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, ok := t.byVM[id]
	if !ok {
		entry = &traffic{}
		t.byVM[id] = entry
	}
	entry.messages++
	entry.bytes += bytes
}

func (t *trafficTotals) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byVM = make(map[types.VMID]*traffic)
}

func targetOf(site, entry int) peer.Target {
	id := types.VMID(fmt.Sprintf("entry-%d-%d", site, entry))
	return peer.Target{VM: id, Address: types.Address(fmt.Sprintf("10.0.%d.%d:7001", site, entry+10)), Site: siteOf(site)}
}

func siteOf(site int) types.Site {
	return types.Site{Region: regionOf(site), DataCentre: types.DataCentre(fmt.Sprintf("data-centre-%d", site))}
}

func regionOf(site int) types.Region {
	return types.Region(fmt.Sprintf("region-%d", site%TargetRegions))
}

// isLeader reports whether the VM is the first entry of its data centre, which leads in the measurements.
func isLeader(id types.VMID) bool {
	return id[len(id)-2:] == "-0"
}
