package order

import (
	"cmp"
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

// gangSpare is how many runners of a gang bring one more to be named, since room changes before tickets come.
const gangSpare = 3

// share is how many tasks of a gang a runner takes.
type share struct {
	room  *room
	count int
}

// serveGang starts all tasks of the step or none; false means that room is lacking. A gang that does not fit keeps
// room for itself.
func (p *pass) serveGang(s *tasks.Step, rooms []*room) bool {
	if !p.whole(s) {
		return true
	}
	if shares := p.fit(s, p.ticketed(s, rooms)); shares != nil {
		p.startGang(s, shares)
		return true
	}
	if s.Advice.Pending > 0 {
		// The room for which tickets are asked stays the gang's, so that it is there when they come.
		p.take(s, p.fit(s, named(s, rooms)))
		return true
	}
	shares := p.fit(s, rooms)
	if shares == nil {
		p.reserve(s, rooms)
		return false
	}
	p.take(s, shares)
	p.renewGang(s, shares, rooms)
	return true
}

func (p *pass) startGang(s *tasks.Step, shares []share) {
	index := 0
	for _, sh := range shares {
		ticket, _ := p.ticket(s, sh.room)
		for range sh.count {
			p.start(s.Tasks[index], sh.room, ticket)
			index++
		}
	}
}

// ticketed returns the runners for which the step has a valid ticket, or needs none.
func (p *pass) ticketed(s *tasks.Step, rooms []*room) []*room {
	var out []*room
	for _, r := range rooms {
		if _, ok := p.ticket(s, r); ok {
			out = append(out, r)
		}
	}
	return out
}

// named returns the runners that the latest call for advice on the step names.
func named(s *tasks.Step, rooms []*room) []*room {
	var out []*room
	for _, r := range rooms {
		if slices.Contains(s.Advice.Asked, r.runner.Incarnation()) {
			out = append(out, r)
		}
	}
	return out
}

// renewGang asks for tickets for all runners of the shares, and for some more, since room changes meanwhile.
func (p *pass) renewGang(s *tasks.Step, shares []share, rooms []*room) {
	var wanted []*room
	for _, sh := range shares {
		wanted = append(wanted, sh.room)
	}
	spare := max(spareTickets, len(wanted)/gangSpare)
	for _, r := range rooms {
		if spare == 0 {
			break
		}
		if !slices.Contains(wanted, r) && p.holds(s, r) > 0 {
			wanted = append(wanted, r)
			spare--
		}
	}
	p.ask(s, wanted[:min(len(wanted), agent.MaxAdvised)])
}

// whole tells whether every task of the gang waits.
func (p *pass) whole(s *tasks.Step) bool {
	for _, t := range s.Tasks {
		if t.State != tasks.Waiting || t.Run != nil || p.now.Before(t.NotBefore) {
			return false
		}
	}
	return true
}

// fit shares the gang out over the runners, or returns nil when it does not fit.
func (p *pass) fit(s *tasks.Step, rooms []*room) []share {
	if s.Spec.SameRack {
		if shares := p.fitRack(s, rooms); shares != nil {
			return shares
		}
	}
	return p.fitAny(s, rooms)
}

// fitRack looks for one rack that has room for the whole gang.
func (p *pass) fitRack(s *tasks.Step, rooms []*room) []share {
	racks := make(map[specs.Label][]*room)
	var names []specs.Label
	for _, r := range rooms {
		rack := r.runner.Info.Rack
		if racks[rack] == nil {
			names = append(names, rack)
		}
		racks[rack] = append(racks[rack], r)
	}
	slices.Sort(names)
	for _, name := range names {
		if shares := p.fitAny(s, racks[name]); shares != nil {
			return shares
		}
	}
	return nil
}

func (p *pass) fitAny(s *tasks.Step, rooms []*room) []share {
	sorted := slices.Clone(rooms)
	slices.SortStableFunc(sorted, func(a, b *room) int {
		return cmp.Compare(cost(s.Tasks[0], a), cost(s.Tasks[0], b))
	})
	left := len(s.Tasks)
	var out []share
	for _, r := range sorted {
		n := min(left, p.holds(s, r))
		if n == 0 {
			continue
		}
		out = append(out, share{room: r, count: n})
		left -= n
		if left == 0 {
			return out
		}
	}
	return nil
}

// holds returns how many tasks of the step fit on the runner now.
func (p *pass) holds(s *tasks.Step, r *room) int {
	n := times(need(s), r.free)
	if s.Spec.PerRunner > 0 {
		n = min(n, s.Spec.PerRunner-p.count(s, r))
	}
	return max(n, 0)
}

// times returns how often an amount fits within another.
func times(need, within types.Resources) int {
	n := len64
	if need.Cores > 0 {
		n = min(n, int64(within.Cores/need.Cores))
	}
	if need.Memory > 0 {
		n = min(n, int64(within.Memory/need.Memory))
	}
	if need.Accelerators > 0 {
		n = min(n, int64(within.Accelerators/need.Accelerators))
	}
	return int(n)
}

// len64 is more tasks than any gang has.
const len64 = int64(specs.MaxWidth)

// take removes the room of the shares from what others may use in this pass.
func (p *pass) take(s *tasks.Step, shares []share) {
	for _, sh := range shares {
		sh.room.free = sh.room.free.Sub(need(s).Times(sh.count))
	}
}

// reserve keeps room for a gang that does not fit: on the runners that have the most room already it lets
// nothing behind the gang start, until the gang would fit on them when they are empty.
func (p *pass) reserve(s *tasks.Step, rooms []*room) {
	service := s.Job.Spec.Queue.Service
	wanted := need(s).Times(len(s.Tasks)).Cores
	if p.reserved[service]+wanted > types.MilliCores(reservedShare*float64(p.cores[service])) {
		return
	}
	p.reserved[service] += wanted
	sorted := slices.Clone(rooms)
	slices.SortStableFunc(sorted, func(a, b *room) int { return cmp.Compare(b.free.Cores, a.free.Cores) })
	left := len(s.Tasks)
	for _, r := range sorted {
		n := min(left, times(need(s), r.runner.Info.Capacity))
		r.free = r.free.Sub(need(s).Times(n))
		left -= n
		if left == 0 {
			return
		}
	}
}
