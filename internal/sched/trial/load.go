package trial

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// Sizes of the users' cells, of today and of the target in two years.
const (
	todayWorkers = 50
	todayTeams   = 20
	todayTasks   = 250
	todayStarts  = 8

	siteWorkers      = 84
	siteAccelerators = 121
	siteTeams        = 34
	siteTasks        = 365
	siteStarts       = 12

	targetWorkers      = 670
	targetAccelerators = 970
	targetTeams        = 270
	targetTasks        = 2900
	targetStarts       = 90

	workersPerRack = 8
	// servicePart is the part of the running tasks that belongs to services: one in so many.
	servicePart = 5
	// tasksPerService is how many tasks one service keeps.
	tasksPerService = 5
	// peakLoad is the part of the cores that the arrivals ask for on average, in thousandths.
	peakLoad = 900
	// overloadPerMille is how many starts an overload asks for, in thousandths of the peak's.
	overloadPerMille = 1300
	perMille         = 1000
)

// peak describes arrivals at a steady rate.
type peak struct {
	starts int
	tasks  int
}

// Today returns the peak of a cell of today.
func Today(seed uint64) Config {
	return peakConfig("50 workers", seed, todayWorkers, 0, todayTeams, peak{starts: todayStarts, tasks: todayTasks})
}

// Site returns the peak of one data centre of the target.
func Site(seed uint64) Config {
	return peakConfig("84 workers", seed, siteWorkers, siteAccelerators, siteTeams, peak{starts: siteStarts, tasks: siteTasks})
}

// Target returns the peak of the whole target under one planner.
func Target(seed uint64) Config {
	c := peakConfig("670 workers", seed, targetWorkers, targetAccelerators, targetTeams, peak{starts: targetStarts, tasks: targetTasks})
	c.Duration = 3 * time.Minute
	return c
}

// Overload returns arrivals that ask for more than one data centre of the target has.
func Overload(seed uint64) Config {
	c := Site(seed)
	c.Name = "84 workers, overload"
	c.Arrivals = func(c Config) []Arrival {
		// The sizes of tasks stay those of the peak, and more of them start.
		p := peak{starts: siteStarts, tasks: siteTasks}
		return p.arrivalsAt(c, siteStarts*overloadPerMille/perMille)
	}
	return c
}

func peakConfig(name string, seed uint64, workers, accelerators, teams int, p peak) Config {
	return Config{
		Name: name, Seed: seed,
		Workers: workers, Accelerators: accelerators, PerRack: workersPerRack, Teams: teams,
		Capacity:   types.Resources{Cores: 64 * types.Core, Memory: 256 * types.GiB},
		Arrivals:   p.arrivals,
		Duration:   10 * time.Minute,
		Drain:      30 * time.Minute,
		Tick:       100 * time.Millisecond,
		StartDelay: 50 * time.Millisecond,
		StopDelay:  time.Second,
	}
}

// maker makes jobs from a seed.
type maker struct {
	random *rand.Rand
	config Config
	count  int
	// mean is the mean size of a task in cores.
	mean types.MilliCores
}

func newMaker(c Config) *maker {
	return &maker{random: rand.New(rand.NewPCG(c.Seed, c.Seed)), config: c}
}

// between returns a duration between two others, evenly spread.
func (m *maker) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.random.Int64N(int64(high-low)))
}

// job makes a job of one task with a size around the mean.
func (m *maker) job(class types.Class, run time.Duration) types.Job {
	m.count++
	sizes := [...]types.MilliCores{250, 500, 1000, 2250}
	perCore := [...]types.MiB{2048, 3072, 3584, 4608}
	cores := m.mean * sizes[m.random.IntN(len(sizes))] / perMille
	cores = min(max(cores, types.Core/2), m.config.Capacity.Cores/2)
	return types.Job{
		ID:    types.JobID(fmt.Sprintf("%s.1.%08d", site, m.count)),
		Name:  fmt.Sprintf("kind-%d", m.random.IntN(40)),
		Team:  teamName(m.random.IntN(m.config.Teams)),
		Class: class,
		Task: types.TaskSpec{
			Resources:     types.Resources{Cores: cores, Memory: perCore[m.random.IntN(len(perCore))] * types.MiB(cores/types.Core+1)},
			RunTime:       run,
			Idempotent:    true,
			CanCheckpoint: class == types.ClassBatch && m.random.IntN(10) < 6,
		},
		Batch: &types.Batch{Count: 1},
	}
}

// arrivals makes services at the start, then jobs at a steady rate: a fifth urgent, two fifths each
// normal and batch, one in fifty all at once. Declared run times are off by up to ten times.
func (p peak) arrivals(c Config) []Arrival {
	return p.arrivalsAt(c, p.starts)
}

func (p peak) arrivalsAt(c Config, starts int) []Arrival {
	m := newMaker(c)
	others := p.tasks - p.tasks/servicePart
	run := time.Duration(others) * time.Second / time.Duration(p.starts)
	m.mean = c.Capacity.Cores * types.MilliCores(c.Workers) * peakLoad / perMille / types.MilliCores(p.tasks)
	out := m.services(p.tasks / servicePart)
	gap := time.Second / time.Duration(starts)
	for at := time.Duration(0); at < c.Duration; at += m.between(0, 2*gap) {
		out = append(out, m.arrival(at, run))
	}
	return out
}

func (m *maker) arrival(at, run time.Duration) Arrival {
	truth := m.between(run/5, run*9/5)
	declared := time.Duration(float64(truth) * []float64{0.1, 0.5, 1, 1, 2, 10}[m.random.IntN(6)])
	pick := m.random.IntN(50)
	switch {
	case pick == 0:
		return Arrival{At: at, Job: m.gang(declared), RunTime: truth}
	case pick <= 10:
		return Arrival{At: at, Job: m.job(types.ClassUrgent, declared), RunTime: truth}
	case pick <= 30:
		return Arrival{At: at, Job: m.job(types.ClassNormal, declared), RunTime: truth}
	default:
		return Arrival{At: at, Job: m.job(types.ClassBatch, declared), RunTime: truth}
	}
}

// gang makes an all-at-once job of two to six tasks, with accelerators where the workers have them.
func (m *maker) gang(run time.Duration) types.Job {
	j := m.job(types.ClassNormal, run)
	j.Batch = nil
	j.Gang = &types.Gang{Count: 2 + m.random.IntN(5)}
	j.Task.Resources = types.Resources{Cores: 4 * types.Core, Memory: 16 * types.GiB}
	if m.config.Accelerators > 0 {
		j.Task.Resources.Accelerators = 1
	}
	return j
}

func (m *maker) services(tasks int) []Arrival {
	var out []Arrival
	for range tasks / tasksPerService {
		j := m.job(types.ClassNormal, 0)
		j.Batch = nil
		j.Service = &types.Service{
			Name: types.ServiceName(j.Name), Count: tasksPerService, Floor: tasksPerService - 1, Slots: 8, Connections: 64,
		}
		out = append(out, Arrival{Job: j})
	}
	return out
}

// All returns every configuration.
func All(seed uint64) []Config {
	return []Config{Today(seed), Site(seed), Overload(seed), Target(seed), Overnight(seed)}
}

// Overnight returns a night: a backlog of batch work that has to be done by morning, declared run times
// off by up to ten times, and a trickle of other work.
func Overnight(seed uint64) Config {
	c := peakConfig("overnight, 84 workers", seed, siteWorkers, 0, siteTeams, peak{})
	c.Arrivals = nightArrivals
	c.Duration = 12 * time.Hour
	c.Drain = 12 * time.Hour
	c.Tick = 10 * time.Second
	c.StartDelay = time.Second
	return c
}

// Load of a night.
const (
	// nightLoad is the part of the cores until the deadline that the batch work takes, in thousandths.
	nightLoad = 800
	nightMean = 8 * types.Core
	// nightLongest is the longest true run time; with the load above every deadline can be met.
	nightLongest = 4 * time.Hour
	trickle      = 30 * time.Second
	// tightOneIn is how many jobs there are for each one whose deadline is not the morning but tightSlack
	// after its arrival and run time.
	tightOneIn = 10
	tightSlack = time.Hour
)

func nightArrivals(c Config) []Arrival {
	m := newMaker(c)
	m.mean = nightMean
	begin := time.Date(2026, 1, 1, 18, 0, 0, 0, time.UTC)
	factors := []float64{0.1, 0.3, 1, 1, 1, 3, 10}
	budget := float64(c.Capacity.Cores) * float64(c.Workers) * c.Duration.Seconds() * nightLoad / perMille
	var out []Arrival
	for budget > 0 {
		run := m.between(5*time.Minute, nightLongest)
		if m.random.IntN(4) > 0 {
			run = m.between(5*time.Minute, time.Hour)
		}
		j := m.job(types.ClassBatch, run)
		kind := m.random.IntN(len(factors))
		j.Name = fmt.Sprintf("night-%d", kind)
		j.Task.RunTime = time.Duration(float64(run) / factors[kind])
		at := m.between(0, 2*time.Hour)
		j.Batch.Deadline = begin.Add(c.Duration)
		if m.random.IntN(tightOneIn) == 0 {
			j.Batch.Deadline = begin.Add(at + run + tightSlack)
		}
		out = append(out, Arrival{At: at, Job: j, RunTime: run})
		budget -= float64(j.Task.Resources.Cores) * run.Seconds()
	}
	for at := time.Duration(0); at < c.Duration; at += m.between(0, 2*trickle) {
		class := types.ClassNormal
		if m.random.IntN(3) == 0 {
			class = types.ClassUrgent
		}
		run := m.between(10*time.Second, 2*time.Minute)
		out = append(out, Arrival{At: at, Job: m.job(class, run), RunTime: run})
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return int(a.At - b.At) })
	return out
}
