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
	memberSeconds = 12
	warmUpSeconds = 6
	mechanismBeat = "`node/member`: a heartbeat to each entry of the data centre every second, to the lead of each other data centre every 3 s"
)

type (
	// traffic is what one daemon sent and received.
	traffic struct {
		messages int
		bytes    int
	}

	// tally counts the calls of one daemon for both ends.
	tally struct {
		peer.Caller
		self   types.VMID
		totals *totals
	}

	totals struct {
		mu  sync.Mutex
		all map[types.VMID]*traffic
	}

	// memberFleet is entries of several data centres on a fake clock.
	memberFleet struct {
		clock   *clockwork.FakeClock
		members []*member.Member
		totals  *totals
	}
)

func memberMeasures() []Measure {
	entries := func(b Budget, get func(traffic) int) Measure {
		return Measure{
			Role: RoleEntry, Duty: "heartbeats", Budget: b, Mechanism: mechanismBeat,
			Driver: "entries of the data centre", Sizes: []int{2, 3, 4}, AtTarget: EntriesPerDataCentre, Exact: true,
			Run: func(size int) (float64, error) { return beats(TargetDataCentres, size, false, get) },
		}
	}
	leads := func(b Budget, get func(traffic) int) Measure {
		return Measure{
			Role: RoleLead, Duty: "heartbeats of other data centres", Budget: b, Mechanism: mechanismBeat,
			Driver: "data centres", Sizes: []int{2, 4, 8}, AtTarget: TargetDataCentres, Exact: true,
			Run: func(size int) (float64, error) { return leadShare(size, get) },
		}
	}
	messages := func(t traffic) int { return t.messages }
	bytes := func(t traffic) int { return t.bytes }
	return []Measure{
		entries(Messages, messages), entries(Control, bytes), leads(Messages, messages), leads(Control, bytes),
	}
}

// leadShare returns what a lead carries above the other entries.
func leadShare(sites int, get func(traffic) int) (float64, error) {
	lead, err := beats(sites, EntriesPerDataCentre, true, get)
	if err != nil {
		return 0, err
	}
	entry, err := beats(sites, EntriesPerDataCentre, false, get)
	return lead - entry, err
}

// beats returns the mean for each second over the leads or over the other entries.
func beats(sites, entries int, lead bool, get func(traffic) int) (float64, error) {
	f, err := newMemberFleet(sites, entries)
	if err != nil {
		return 0, err
	}
	f.run(warmUpSeconds)
	f.totals.reset()
	f.run(memberSeconds)
	sum, count := 0, 0
	for id, t := range f.totals.all {
		if isLead(id) != lead {
			continue
		}
		sum += get(*t)
		count++
	}
	return float64(sum) / float64(count) / memberSeconds, nil
}

func newMemberFleet(sites, entries int) (*memberFleet, error) {
	f := &memberFleet{clock: clockwork.NewFakeClock(), totals: &totals{all: make(map[types.VMID]*traffic)}}
	list := vmlist.NewMemory(f.clock, regionOf(0), 0)
	network := peer.NewNetwork()
	for s := range sites {
		for e := range entries {
			if err := f.add(network, list, s, e); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

func (f *memberFleet) add(network *peer.Network, list *vmlist.Memory, site, entry int) error {
	self := targetOf(site, entry)
	list.Set(types.VM{ID: self.VM, Role: types.RoleEntry, State: types.VMLive, Site: self.Site, Address: self.Address})
	node := network.Join(self, meter.Discard())
	m, err := member.New(member.Config{
		Self: self, Clock: f.clock, VMs: list.As(self.Site.DataCentre, meter.Discard()),
		Peers: &tally{Caller: node, self: self.VM, totals: f.totals}, Registrar: node,
		Log: zerolog.Nop(), Metrics: metrics.NewRegistry(),
	})
	if err != nil {
		return err
	}
	if entry == 0 {
		m.SetLeading(1)
	}
	f.members = append(f.members, m)
	return nil
}

func (f *memberFleet) run(seconds int) {
	for range seconds {
		f.clock.Advance(time.Second)
		for _, m := range f.members {
			m.Tick(context.Background())
		}
	}
}

// Call counts a call for the caller and for the daemon that is called.
func (t *tally) Call(ctx context.Context, to peer.Target, method peer.Method, args, reply any) error {
	err := t.Caller.Call(ctx, to, method, args, reply)
	size := peer.Size(args)
	if err == nil {
		size += peer.Size(reply)
	}
	t.totals.add(t.self, size)
	t.totals.add(to.VM, size)
	return err
}

func (t *totals) add(id types.VMID, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, ok := t.all[id]
	if !ok {
		entry = &traffic{}
		t.all[id] = entry
	}
	entry.messages++
	entry.bytes += bytes
}

func (t *totals) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all = make(map[types.VMID]*traffic)
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

// isLead tells whether the VM is the first entry of its data centre, which leads in the fits.
func isLead(id types.VMID) bool {
	return id[len(id)-2:] == "-0"
}
