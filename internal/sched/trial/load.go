package trial

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// Sizes of the users' cells, of today and of the target in two years, with the tasks that run at the same time and
// the starts per second.
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
	// tasksPerServiceTask is the number of running tasks for each one that belongs to a service.
	tasksPerServiceTask = 5
	// tasksPerService is the number of tasks of one service.
	tasksPerService = 5
	// peakLoadPermille is the share of all cores that the arrivals ask for on average, in thousandths.
	peakLoadPermille = 900
	// overloadPermille is the rate of starts in an overload, in thousandths of that in a peak.
	overloadPermille = 1300
	permille         = 1000
)

// peak describes arrivals at a steady rate, and how many tasks run at the same time.
type peak struct {
	startsPerSecond int
	tasks           int
}

// Today returns the peak load of one of the users' cells of today.
func Today(seed uint64) Config {
	return peakConfig("50 workers", seed, todayWorkers, 0, todayTeams, peak{startsPerSecond: todayStarts, tasks: todayTasks})
}

// Site returns the peak load of one data centre of the target.
func Site(seed uint64) Config {
	return peakConfig("84 workers", seed, siteWorkers, siteAccelerators, siteTeams, peak{startsPerSecond: siteStarts, tasks: siteTasks})
}

// Target returns the peak load of the whole target under one planner.
func Target(seed uint64) Config {
	c := peakConfig("670 workers", seed, targetWorkers, targetAccelerators, targetTeams, peak{startsPerSecond: targetStarts, tasks: targetTasks})
	c.Duration = 3 * time.Minute
	return c
}

// Overload returns a load that asks for more than the capacity of one data centre of the target.
func Overload(seed uint64) Config {
	c := Site(seed)
	c.Name = "84 workers, overload"
	c.Arrivals = func(c Config) []Arrival {
		// The tasks have the same sizes and run times as in the peak; only more of them start.
		p := peak{startsPerSecond: siteStarts, tasks: siteTasks}
		return p.arrivalsAt(c, siteStarts*overloadPermille/permille)
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

// jobGenerator generates random jobs from the seed of a configuration.
type jobGenerator struct {
	random *rand.Rand
	config Config
	count  int
	// meanCores is the mean number of cores of a task.
	meanCores types.MilliCores
}

func newJobGenerator(c Config) *jobGenerator {
	return &jobGenerator{random: rand.New(rand.NewPCG(c.Seed, c.Seed)), config: c}
}

// durationBetween returns a random duration from low to below high, uniformly distributed.
func (g *jobGenerator) durationBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(g.random.Int64N(int64(high-low)))
}

// newJob returns a batch job of one task, with a size around the mean and a declared run time.
func (g *jobGenerator) newJob(class types.Class, declared time.Duration) types.Job {
	g.count++
	sizes := [...]types.MilliCores{250, 500, 1000, 2250}
	memoryPerCore := [...]types.MiB{2048, 3072, 3584, 4608}
	cores := g.meanCores * sizes[g.random.IntN(len(sizes))] / permille
	cores = min(max(cores, types.Core/2), g.config.Capacity.Cores/2)
	return types.Job{
		ID:    types.JobID(fmt.Sprintf("%s.1.%08d", site, g.count)),
		Name:  fmt.Sprintf("kind-%d", g.random.IntN(40)),
		Team:  teamName(g.random.IntN(g.config.Teams)),
		Class: class,
		Task: types.TaskSpec{
			Resources:     types.Resources{Cores: cores, Memory: memoryPerCore[g.random.IntN(len(memoryPerCore))] * types.MiB(cores/types.Core+1)},
			RunTime:       declared,
			Idempotent:    true,
			CanCheckpoint: class == types.ClassBatch && g.random.IntN(10) < 6,
		},
		Batch: &types.Batch{Count: 1},
	}
}

// arrivals returns services at the start, then jobs at a steady rate: a fifth urgent, two fifths each of class
// normal and batch, one in fifty a gang. Declared run times are off by a factor of up to ten.
func (p peak) arrivals(c Config) []Arrival {
	return p.arrivalsAt(c, p.startsPerSecond)
}

func (p peak) arrivalsAt(c Config, starts int) []Arrival {
	g := newJobGenerator(c)
	jobTasks := p.tasks - p.tasks/tasksPerServiceTask
	meanRunTime := time.Duration(jobTasks) * time.Second / time.Duration(p.startsPerSecond)
	g.meanCores = c.Capacity.Cores * types.MilliCores(c.Workers) * peakLoadPermille / permille / types.MilliCores(p.tasks)
	out := g.newServices(p.tasks / tasksPerServiceTask)
	interval := time.Second / time.Duration(starts)
	for at := time.Duration(0); at < c.Duration; at += g.durationBetween(0, 2*interval) {
		out = append(out, g.newArrival(at, meanRunTime))
	}
	return out
}

func (g *jobGenerator) newArrival(at, meanRunTime time.Duration) Arrival {
	actual := g.durationBetween(meanRunTime/5, meanRunTime*9/5)
	declared := time.Duration(float64(actual) * []float64{0.1, 0.5, 1, 1, 2, 10}[g.random.IntN(6)])
	pick := g.random.IntN(50)
	switch {
	case pick == 0:
		return Arrival{At: at, Job: g.newGang(declared), RunTime: actual}
	case pick <= 10:
		return Arrival{At: at, Job: g.newJob(types.ClassUrgent, declared), RunTime: actual}
	case pick <= 30:
		return Arrival{At: at, Job: g.newJob(types.ClassNormal, declared), RunTime: actual}
	default:
		return Arrival{At: at, Job: g.newJob(types.ClassBatch, declared), RunTime: actual}
	}
}

// newGang returns a gang job of two to six tasks, with accelerators where the workers have them.
func (g *jobGenerator) newGang(declared time.Duration) types.Job {
	j := g.newJob(types.ClassNormal, declared)
	j.Batch = nil
	j.Gang = &types.Gang{Count: 2 + g.random.IntN(5)}
	j.Task.Resources = types.Resources{Cores: 4 * types.Core, Memory: 16 * types.GiB}
	if g.config.Accelerators > 0 {
		j.Task.Resources.Accelerators = 1
	}
	return j
}

func (g *jobGenerator) newServices(tasks int) []Arrival {
	var out []Arrival
	for range tasks / tasksPerService {
		j := g.newJob(types.ClassNormal, 0)
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

// Overnight returns the load of a night: a backlog of batch work that has to be done by morning, with declared run
// times off by a factor of up to ten, and a little other work throughout the night.
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
	// nightLoadPermille is the share of the core time until the deadline that batch work takes, in thousandths.
	nightLoadPermille = 800
	nightMeanCores    = 8 * types.Core
	// maxNightRunTime is the longest actual run time; with the load above, every deadline can be met.
	maxNightRunTime = 4 * time.Hour
	// nightJobInterval is the mean time between arrivals of the other work.
	nightJobInterval = 30 * time.Second
	// tightOneIn is the number of batch jobs for each one whose deadline is not the morning but tightMargin after
	// its arrival and actual run time.
	tightOneIn  = 10
	tightMargin = time.Hour
)

func nightArrivals(c Config) []Arrival {
	g := newJobGenerator(c)
	g.meanCores = nightMeanCores
	begin := time.Date(2026, 1, 1, 18, 0, 0, 0, time.UTC)
	actualPerDeclared := []float64{0.1, 0.3, 1, 1, 1, 3, 10}
	budget := float64(c.Capacity.Cores) * float64(c.Workers) * c.Duration.Seconds() * nightLoadPermille / permille
	var out []Arrival
	for budget > 0 {
		run := g.durationBetween(5*time.Minute, maxNightRunTime)
		if g.random.IntN(4) > 0 {
			run = g.durationBetween(5*time.Minute, time.Hour)
		}
		j := g.newJob(types.ClassBatch, run)
		factorIndex := g.random.IntN(len(actualPerDeclared))
		j.Name = fmt.Sprintf("night-%d", factorIndex)
		j.Task.RunTime = time.Duration(float64(run) / actualPerDeclared[factorIndex])
		at := g.durationBetween(0, 2*time.Hour)
		j.Batch.Deadline = begin.Add(c.Duration)
		if g.random.IntN(tightOneIn) == 0 {
			j.Batch.Deadline = begin.Add(at + run + tightMargin)
		}
		out = append(out, Arrival{At: at, Job: j, RunTime: run})
		budget -= float64(j.Task.Resources.Cores) * run.Seconds()
	}
	for at := time.Duration(0); at < c.Duration; at += g.durationBetween(0, 2*nightJobInterval) {
		class := types.ClassNormal
		if g.random.IntN(3) == 0 {
			class = types.ClassUrgent
		}
		run := g.durationBetween(10*time.Second, 2*time.Minute)
		out = append(out, Arrival{At: at, Job: g.newJob(class, run), RunTime: run})
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return int(a.At - b.At) })
	return out
}
