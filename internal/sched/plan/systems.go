package plan

import (
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

type (
	// Config configures a planner.
	Config struct {
		// Policy is the placement policy; the zero value selects the defaults.
		Policy envdoc.PlacementPolicy
		// Document, if set, returns the environment document in force, whose policy replaces Policy in each tick.
		// It may return nil.
		Document func() (*envdoc.Document, types.Revision)
		// ExternalServices disables roll-outs and the draining of services. The caller then does both, since it knows
		// which runners still serve requests.
		ExternalServices bool
	}

	// Systems is the planner of the leader. In each tick it runs its systems in a fixed order over the tables.
	// Between ticks it keeps only the count of examined workers and memory for reuse.
	Systems struct {
		config   Config
		examined uint64
		scratch  scratch
	}

	// scratch is memory that is reused from tick to tick.
	scratch struct {
		capacity capacityIndex
		entries  []entry
		lanes    lanes
	}

	// system is one step of a tick. It reads the tables and the state of the tick, and adds actions.
	system func(t *tick)
)

// New returns the planner of the leader.
func New(c Config) *Systems {
	return &Systems{config: c}
}

// policy returns the policy in force. An empty policy, and a missing GangTimeout or MaxAttempts, get the defaults.
func (p *Systems) policy() envdoc.PlacementPolicy {
	d := envdoc.Default().Placement
	policy := p.config.Policy
	if p.config.Document != nil {
		if document, _ := p.config.Document(); document != nil {
			policy = document.Placement
		}
	}
	if policy == (envdoc.PlacementPolicy{}) {
		return d
	}
	if policy.GangTimeout <= 0 {
		policy.GangTimeout = d.GangTimeout
	}
	if policy.MaxAttempts <= 0 {
		policy.MaxAttempts = d.MaxAttempts
	}
	return policy
}

// Plan runs all systems once and returns their actions.
func (p *Systems) Plan(s *table.State, now time.Time) []Action {
	t := newTick(p.policy(), s, now, &p.scratch)
	t.keepServices = p.config.ExternalServices
	for _, run := range p.order() {
		run(t)
	}
	p.examined += t.examined
	p.scratch.entries = t.entries
	return t.actions
}

// Examined returns how many workers have been examined for placements since the planner was created.
func (p *Systems) Examined() uint64 {
	return p.examined
}

// order returns the systems in the order in which a tick runs them.
func (p *Systems) order() []system {
	return []system{
		checkHealth,
		admit,
		syncReservations,
		startProbeTasks,
		startUrgent,
		preemptForUrgent,
		startPressing,
		preemptForPressing,
		startOthers,
		preemptForNormal,
		reserve,
		stopIncompleteGangs,
		rollOut,
		drainLeaving,
		throttle,
		handOver,
		reportWaitReasons,
	}
}

// tick is the state that the systems of one tick share: the tables, and the effect of the actions planned so far.
type tick struct {
	policy   envdoc.PlacementPolicy
	tables   *table.State
	now      time.Time
	capacity *capacityIndex
	lanes    *lanes
	// entries holds the waiting jobs. It must never grow beyond its capacity, since the lanes point into it.
	entries []entry
	// noFitReasons caches noFitReason for each declared size.
	noFitReasons map[types.Resources]string
	// plannedByTeam holds the resources of each team's planned starts, by Team.Index.
	plannedByTeam []types.Resources
	// nonUrgent is what work other than urgent occupies, and nonUrgentLimit is what it may occupy.
	nonUrgent      types.Resources
	nonUrgentLimit types.Resources
	// smallest is a lower bound, in each resource, of the waiting tasks that are not urgent.
	smallest types.Resources
	// started counts the planned starts, and examined the workers that were examined for them.
	started    uint64
	examined   uint64
	failedFits []failedFit
	overruns   overruns
	// preemptFor holds, by lane, the entries without capacity for which other tasks may be preempted.
	preemptFor   [laneCount][]*entry
	normalQueues teamHeap
	// reclaimable is what the workers could free, by Worker.Index; nil until it is needed.
	reclaimable []reclaimable
	// stopping is what stops in flight and planned ones will free for work that is not urgent.
	stopping        types.Resources
	preemptSearches int
	// keepServices is Config.ExternalServices.
	keepServices bool
	// candidates holds the entries that may get a reservation.
	candidates []*entry
	actions    []Action
}

func newTick(policy envdoc.PlacementPolicy, s *table.State, now time.Time, m *scratch) *tick {
	t := &tick{
		policy:        policy,
		tables:        s,
		now:           now,
		capacity:      &m.capacity,
		lanes:         &m.lanes,
		entries:       slices.Grow(m.entries[:0], len(s.Waiting())),
		noFitReasons:  make(map[types.Resources]string),
		plannedByTeam: make([]types.Resources, len(s.Teams)),
	}
	t.capacity.reset(s)
	t.lanes.reset()
	for _, c := range types.Classes() {
		if c != types.ClassUrgent {
			t.nonUrgent = t.nonUrgent.Add(s.UsedBy(c))
		}
	}
	total := t.capacity.total
	nonUrgentPart := int64(permille - policy.UrgentHeadroom)
	t.nonUrgentLimit = types.Resources{
		Cores:        total.Cores * types.MilliCores(nonUrgentPart) / permille,
		Memory:       total.Memory * types.MiB(nonUrgentPart) / permille,
		Accelerators: total.Accelerators,
	}
	return t
}

func (t *tick) add(a Action) {
	t.actions = append(t.actions, a)
}
