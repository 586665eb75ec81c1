package plan

import (
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

type (
	// Config holds what a planner is made of.
	Config struct {
		// Policy is the placement policy; the zero value stands for the defaults.
		Policy envdoc.PlacementPolicy
		// Document, when set, returns the document in force, whose policy is taken in each tick. It may be nil.
		Document func() (*envdoc.Document, types.Revision)
		// KeepServices leaves roll-outs and the draining of services to the caller, which knows the runners
		// that still serve requests.
		KeepServices bool
	}

	// Systems is the planner of the lead. Each tick it runs its systems in a fixed order over the
	// tables; it keeps nothing between ticks but the counter of its work.
	Systems struct {
		config   Config
		examined uint64
		scratch  scratch
	}

	// scratch is memory that ticks use again.
	scratch struct {
		capacity capacityIndex
		entries  []entry
		lanes    lanes
	}

	// system is one step of a tick. It reads the tables and the tick, and adds actions.
	system func(t *tick)
)

// New returns the planner of the lead.
func New(c Config) *Systems {
	return &Systems{config: c}
}

// policy returns the policy in force with its gaps filled.
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

// Plan runs the systems once.
func (p *Systems) Plan(s *table.State, now time.Time) []Action {
	t := newTick(p.policy(), s, now, &p.scratch)
	t.keepServices = p.config.KeepServices
	for _, run := range p.order() {
		run(t)
	}
	p.examined += t.examined
	p.scratch.entries = t.entries
	return t.actions
}

// Examined returns how many workers were looked at for placements since the planner was made.
func (p *Systems) Examined() uint64 {
	return p.examined
}

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

// tick is what the systems of one tick share: the tables with the planned actions applied.
type tick struct {
	policy   envdoc.PlacementPolicy
	tables   *table.State
	now      time.Time
	capacity *capacityIndex
	lanes    *lanes
	// entries holds the waiting jobs; it is not appended to beyond its capacity, since lanes point into it.
	entries []entry
	// noFitReasons tells for each declared size whether it fits at all.
	noFitReasons map[types.Resources]string
	// plannedByTeam holds what each team's planned starts take, by the team's Index.
	plannedByTeam []types.Resources
	// nonUrgent is what work other than urgent occupies, and nonUrgentLimit what it may occupy.
	nonUrgent      types.Resources
	nonUrgentLimit types.Resources
	// smallest is at most as large, in each resource, as any waiting task that is not urgent.
	smallest     types.Resources
	started      uint64
	examined     uint64
	failedFits   []failedFit
	overruns     overruns
	preemptFor   [laneCount][]*entry
	normalQueues teamHeap
	reclaimable  []reclaimable
	// stopping is what stops under way and planned ones give back to work that is not urgent.
	stopping        types.Resources
	preemptSearches int
	// keepServices tells that services are stopped by the caller alone.
	keepServices bool
	candidates   []*entry
	actions      []Action
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
