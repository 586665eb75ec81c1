package envdoc

import (
	"fmt"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// Bounds of the values that a document may set.
const (
	maxHeadroom       = 500
	maxQuarantined    = 500
	minTaskLease      = 5 * time.Second
	maxTaskLease      = 2 * time.Minute
	minGangTimeout    = time.Second
	maxGangTimeout    = time.Hour
	maxAttempts       = 100
	maxQueue          = 1_000_000
	maxRetryBudget    = 1000
	minKeepAnswers    = time.Minute
	maxKeepAnswers    = 7 * 24 * time.Hour
	minDeadline       = 10 * time.Millisecond
	maxStartWithin    = 7 * 24 * time.Hour
	maxSlots          = 1024
	maxConnections    = 65536
	maxWorkersInGroup = 100_000
	maxLinkRate       = 1 << 30
)

// checker collects the problems of a document.
type checker struct {
	document *Document
	problems Problems
}

// Check returns an error of kind Invalid or Impossible when the document breaks a rule. It lists the problems as
// Problems.Err does.
func (d *Document) Check() error {
	return d.Problems().Err()
}

// Problems returns a problem, without its line, for each rule that the document breaks. The totals of all services are
// checked only if there are no other problems.
func (d *Document) Problems() Problems {
	c := &checker{document: d}
	if d.Environment != "" {
		c.checkName("Environment", string(d.Environment))
	}
	c.checkDataCentres()
	c.checkTeams()
	c.checkWorkNames()
	c.checkClasses()
	c.checkPlacement()
	c.checkRequests()
	for i, s := range d.Services {
		c.checkService(Path("Services").Index(i), s)
	}
	for i, w := range d.Batch {
		c.checkWork(Path("Batch").Index(i), w)
	}
	for i, w := range d.Gangs {
		c.checkWork(Path("Gangs").Index(i), w)
		c.checkGang(Path("Gangs").Index(i), w)
	}
	if len(c.problems) == 0 {
		c.checkTotals()
	}
	return c.problems
}

func (c *checker) addProblem(path Path, allowed, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Reason: fmt.Sprintf(format, args...), Allowed: allowed})
}

// addImpossible adds a problem for a demand that is well formed but can never be met.
func (c *checker) addImpossible(path Path, allowed, format string, args ...any) {
	c.addProblem(path, allowed, format, args...)
	c.problems[len(c.problems)-1].Impossible = true
}

func (c *checker) checkName(path Path, text string) {
	if err := types.CheckName(string(path), text); err != nil {
		c.addProblem(path, "1 to 63 of a-z, 0-9 and -", "%q is not a name", text)
	}
}

func (c *checker) checkCount(path Path, value, low, high int) {
	if value < low || value > high {
		c.addProblem(path, fmt.Sprintf("%d to %d", low, high), "%d is out of range", value)
	}
}

func (c *checker) checkDuration(path Path, value, low, high time.Duration) {
	if value < low || value > high {
		c.addProblem(path, fmt.Sprintf("%s to %s", low, high), "%s is out of range", value)
	}
}

func (c *checker) checkBytes(path Path, value, high types.Bytes) {
	if value < 0 || value > high {
		c.addProblem(path, fmt.Sprintf("0B to %dB", high), "%dB is out of range", value)
	}
}

func (c *checker) checkClass(path Path, class types.Class) {
	if class.Check() != nil {
		c.addProblem(path, "Urgent, Normal or Batch", "%q is not a class", class)
	}
}

func (c *checker) checkResources(path Path, r types.Resources) {
	if r.Cores < 1 || r.Memory < 1 || r.Accelerators < 0 {
		c.addProblem(path, "Cores from 1m, Memory from 1MiB, Accelerators from 0", "%s is too little", r)
	}
}

func (c *checker) checkDataCentres() {
	if len(c.document.DataCentres) == 0 {
		c.addProblem("DataCentres", "at least one data centre", "the list is missing or empty")
	}
	seen := make(map[types.DataCentre]bool)
	for i, dc := range c.document.DataCentres {
		path := Path("DataCentres").Index(i)
		c.checkName(path.Key("Name"), string(dc.Name))
		c.checkName(path.Key("Region"), string(dc.Region))
		if seen[dc.Name] {
			c.addProblem(path.Key("Name"), "each data centre once", "%q stands twice", dc.Name)
		}
		seen[dc.Name] = true
		if len(dc.Workers) == 0 {
			c.addProblem(path.Key("Workers"), "at least one group", "the list is missing or empty")
		}
		for j, g := range dc.Workers {
			at := path.Key("Workers").Index(j)
			c.checkCount(at.Key("Count"), g.Count, 1, maxWorkersInGroup)
			c.checkResources(at.Key("Capacity"), g.Capacity)
		}
	}
}

func (c *checker) checkTeams() {
	if len(c.document.Teams) == 0 {
		c.addProblem("Teams", "at least one team", "the list is missing or empty")
	}
	seen := make(map[types.TeamID]bool)
	for i, t := range c.document.Teams {
		path := Path("Teams").Index(i)
		c.checkName(path.Key("Name"), string(t.Name))
		if seen[t.Name] {
			c.addProblem(path.Key("Name"), "each team once", "%q stands twice", t.Name)
		}
		seen[t.Name] = true
		c.checkClass(path.Key("MaxClass"), t.MaxClass)
		c.checkResources(path.Key("Quota"), t.Quota)
	}
}

// checkWorkNames rejects entries with the same name, since callers submit work by name.
func (c *checker) checkWorkNames() {
	seen := make(map[string]bool)
	add := func(list Path, i int, name string) {
		path := list.Index(i).Key("Name")
		c.checkName(path, name)
		if seen[name] {
			c.addProblem(path, "a name that no other service, batch work or gang has", "%q stands twice", name)
		}
		seen[name] = true
	}
	for i, s := range c.document.Services {
		add("Services", i, string(s.Name))
	}
	for i, w := range c.document.Batch {
		add("Batch", i, w.Name)
	}
	for i, w := range c.document.Gangs {
		add("Gangs", i, w.Name)
	}
}

func (c *checker) checkClasses() {
	seen := make(map[types.Class]bool)
	for i, p := range c.document.Classes {
		path := Path("Classes").Index(i)
		c.checkClass(path.Key("Class"), p.Class)
		if seen[p.Class] {
			c.addProblem(path.Key("Class"), "each class once", "%q stands twice", p.Class)
		}
		seen[p.Class] = true
		c.checkDuration(path.Key("StartWithin"), p.StartWithin, 0, maxStartWithin)
		c.checkCount(path.Key("Queue"), p.Queue, 0, maxQueue)
		c.checkDuration(path.Key("Deadline"), p.Deadline, 0, types.MaxDeadline)
	}
}

func (c *checker) checkPlacement() {
	p, path := c.document.Placement, Path("Placement")
	c.checkCount(path.Key("UrgentHeadroom"), p.UrgentHeadroom, 0, maxHeadroom)
	c.checkDuration(path.Key("TaskLease"), p.TaskLease, minTaskLease, maxTaskLease)
	c.checkDuration(path.Key("GangTimeout"), p.GangTimeout, minGangTimeout, maxGangTimeout)
	c.checkCount(path.Key("MaxAttempts"), p.MaxAttempts, 1, maxAttempts)
	c.checkCount(path.Key("MaxQuarantined"), p.MaxQuarantined, 0, maxQuarantined)
}

// checkRequests checks the request policy and the link policy.
func (c *checker) checkRequests() {
	r, path := c.document.Requests, Path("Requests")
	c.checkCount(path.Key("Queue"), r.Queue, 1, maxQueue)
	c.checkCount(path.Key("RetryBudget"), r.RetryBudget, 0, maxRetryBudget)
	c.checkDuration(path.Key("KeepAnswers"), r.KeepAnswers, minKeepAnswers, maxKeepAnswers)
	c.checkBytes(path.Key("MaxKeptAnswer"), r.MaxKeptAnswer, types.MaxAnswerBody)
	c.checkDuration(path.Key("DefaultDeadline"), r.DefaultDeadline, minDeadline, types.MaxDeadline)
	c.checkBytes("Link.RequestBytesPerSecond", c.document.Link.RequestBytesPerSecond, maxLinkRate)
}

// checkTask checks the description of one task, but not whether its resources fit anywhere.
func (c *checker) checkTask(path Path, t types.TaskSpec) {
	c.checkResources(path.Key("Resources"), t.Resources)
	if err := t.Check(); err != nil && t.Resources.Cores > 0 && t.Resources.Memory > 0 {
		c.addProblem(path, "see Task in the reference of the document", "%s", errs.Of(err).Message)
	}
	for i, dc := range t.DataCentres {
		if _, known := c.document.DataCentre(dc); !known {
			c.addProblem(path.Key("DataCentres").Index(i), "a name from DataCentres", "%q is not a data centre", dc)
		}
	}
}
