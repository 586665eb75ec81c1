package order

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/agent"
)

const (
	// memberFailure is the probability that a member of a gang fails in an attempt.
	memberFailure = 0.03
	// adviceTakes is how long a call for advice takes, and adviceValidity how long its tickets are valid.
	adviceTakes    = 450 * time.Millisecond
	adviceValidity = 1500 * time.Millisecond
	// minEnding and maxEnding bound the time in which the other members of a broken gang end.
	minEnding = 100 * time.Millisecond
	maxEnding = 500 * time.Millisecond
	// savedEvery is the work after which a gang has saved its state.
	savedEvery = time.Second
	// restartBackoff is how long the member that failed waits.
	restartBackoff = 100 * time.Millisecond
)

// breakingLoad is the heavy load in which gangs need advice and break.
type breakingLoad struct {
	*simulation

	// prepares is set when the planner learns of a gang's break before its last member has ended.
	prepares bool
	breaksAt map[*tasks.Run]time.Time
	answers  map[*tasks.Step]adviceAnswer
	lastEnd  map[*tasks.Step]time.Time
	begunAt  map[*tasks.Step]time.Time
	waits    time.Duration
	restarts int
	calls    int
}

// adviceAnswer is an answer to a call for advice that arrives at a time.
type adviceAnswer struct {
	at    time.Time
	asked []tasks.Incarnation
}

func newBreakingLoad(seed uint64, prepares bool) *breakingLoad {
	l := &breakingLoad{
		simulation: newSimulation(seed), prepares: prepares, breaksAt: make(map[*tasks.Run]time.Time),
		answers: make(map[*tasks.Step]adviceAnswer), lastEnd: make(map[*tasks.Step]time.Time),
		begunAt: make(map[*tasks.Step]time.Time),
	}
	l.kinds[0].queue.Advice = &specs.AdvicePolicy{Decision: 200 * time.Millisecond, PerRunner: 5 * time.Millisecond, Validity: adviceValidity}
	l.kinds[0].queue.MaxAttempts = 20
	return l
}

func (l *breakingLoad) run() float64 {
	for at := time.Duration(0); at < loadDuration; at += timeStep {
		now := start.Add(at)
		l.addArrivals(now, at)
		l.answerCalls(now)
		l.endBroken(now)
		l.finishDue(now)
		budget := specs.AdviceBudget{Short: 10 * time.Second, Long: 10 * time.Second}
		p := plan(l.table, now, Limits{AdviceBudget: budget}, byUrgency)
		for _, s := range p.Starts {
			l.startMember(s, now)
		}
		l.breakGangs(p.Starts, now)
		for _, c := range p.AdviceCalls {
			l.call(c, now)
		}
	}
	return l.gainedValue / l.offeredValue
}

func (l *breakingLoad) call(c AdviceCall, now time.Time) {
	l.calls++
	answer := l.answers[c.Step]
	answer.at = now.Add(adviceTakes)
	for _, r := range c.Runners {
		answer.asked = append(answer.asked, r.Incarnation())
	}
	c.Step.Advice.Pending, c.Step.Advice.Asked = 1, answer.asked
	l.answers[c.Step] = answer
}

// answerCalls allows every second runner.
func (l *breakingLoad) answerCalls(now time.Time) {
	for s, answer := range l.answers {
		if now.Before(answer.at) {
			continue
		}
		var permits []agent.Permit
		for _, i := range answer.asked {
			if (l.table.Runners[i.Runner].Position()+len(s.Tasks))%2 == 0 {
				permits = append(permits, agent.Permit{Runner: i.Runner, Ticket: "T"})
			}
		}
		s.Advice.Pending = 0
		s.Advice.RecordAnswer(answer.asked, permits, now.Add(adviceValidity))
		delete(l.answers, s)
	}
}

func (l *breakingLoad) startMember(s Start, now time.Time) {
	step := s.Task.Step
	if !step.Spec.Gang {
		l.startTask(s, now)
		return
	}
	attempt := step.GangAttempt(s.Task)
	run := s.Runner.PlaceTask(s.Task, attempt)
	c := s.Task.Change()
	c.State, c.Attempt, c.Runner = tasks.Placed, attempt, s.Runner.Info.ID
	l.table.Apply(tasks.Record{Task: c})
	l.endsAt[run] = now.Add(l.runTimes[s.Task.Ref])
	if ended, ok := l.lastEnd[step]; ok {
		l.waits += now.Sub(ended)
		l.restarts++
		delete(l.lastEnd, step)
	}
	l.begunAt[step] = now
}

// breakGangs decides which of the gangs that were started break, and when their members end.
func (l *breakingLoad) breakGangs(starts []Start, now time.Time) {
	seen := make(map[*tasks.Step]bool)
	for _, s := range starts {
		step := s.Task.Step
		if !step.Spec.Gang || seen[step] {
			continue
		}
		seen[step] = true
		// Each attempt of a job has its own random numbers, so that the runs that are compared have the same arrivals and
		// breaks.
		draw := rand.New(rand.NewPCG(xxhash.Sum64String(string(step.Ref.Job)), uint64(step.Tasks[0].Attempt)))
		failed := -1
		for i := range step.Tasks {
			if draw.Float64() < memberFailure {
				failed = i
			}
		}
		if failed < 0 {
			continue
		}
		at := now.Add(time.Duration(draw.Float64() * float64(l.runTimes[step.Tasks[0].Ref])))
		for i, t := range step.Tasks {
			delete(l.endsAt, t.Run)
			l.breaksAt[t.Run] = at
			if i != failed {
				l.breaksAt[t.Run] = at.Add(minEnding + time.Duration(draw.Float64()*float64(maxEnding-minEnding)))
			}
		}
	}
}

// endBroken ends the members of broken gangs that are due. The gang loses what it has done since it last saved its state.
func (l *breakingLoad) endBroken(now time.Time) {
	for run, at := range l.breaksAt {
		if now.Before(at) {
			continue
		}
		delete(l.breaksAt, run)
		step := run.Task.Step
		run.Runner.RemoveRun(run)
		c := run.Task.WaitingChange()
		if step.BrokenIn < run.Key.Attempt {
			saved := now.Sub(l.begunAt[step]).Truncate(savedEvery)
			for _, t := range step.Tasks {
				l.runTimes[t.Ref] = max(l.runTimes[t.Ref]-saved, savedEvery/10)
			}
			run.Task.NotBefore = now.Add(restartBackoff)
			step.Break(run.Key.Attempt, now)
			if !l.prepares {
				step.BrokenAt = time.Time{}
			}
		}
		l.table.Apply(tasks.Record{Task: c})
		for _, t := range step.Tasks {
			if t.Run != nil {
				t.Run.StartCancelled = true
			}
		}
		l.lastEnd[step] = now
	}
}

// Preparing the next place of a broken gang must make it start again sooner, at no cost to the value of the whole load,
// in which small urgent tasks wait.
func TestBrokenGangsStartAgainSoonerAtNoCostToOthers(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates thirty seconds of load thirty-two times")
	}
	const seeds = 16
	wait := make(map[bool]time.Duration)
	value := make(map[bool]float64)
	for seed := range uint64(seeds) {
		for _, prepares := range []bool{false, true} {
			l := newBreakingLoad(seed, prepares)
			value[prepares] += l.run() / seeds
			mean := l.waits / time.Duration(max(l.restarts, 1))
			wait[prepares] += mean / seeds
			t.Logf("seed %d, prepared %v: %d restarts after %s in the mean, %d calls", seed, prepares, l.restarts, mean, l.calls)
		}
	}
	t.Logf("mean wait %s with preparation, %s without; value %.3f and %.3f", wait[true], wait[false], value[true], value[false])
	if wait[true] >= wait[false]*3/4 {
		t.Errorf("broken gangs wait %s in the mean, want less than three quarters of %s, as without preparation", wait[true], wait[false])
	}
	if value[true] < value[false]-0.01 {
		t.Errorf("callers gain %.3f of the value, %.3f without preparation", value[true], value[false])
	}
}
