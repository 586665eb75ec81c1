package envdoc

import (
	"fmt"
	"slices"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// checkService checks one service: its team, task, slots and connections, and its count in each data centre.
func (c *checker) checkService(path Path, s ServiceEntry) {
	team, known := c.checkOwner(path, s.Team, s.Class)
	c.checkTask(path.Key("Task"), s.Task)
	c.checkCount(path.Key("Slots"), s.Slots, 1, maxSlots)
	if s.Connections < s.Slots || s.Connections > maxConnections {
		c.addProblem(path.Key("Connections"), fmt.Sprintf("Slots (%d) to %d", s.Slots, maxConnections),
			"%d is out of range", s.Connections)
	}
	if s.Task.RunTime != 0 {
		c.addProblem(path.Key("Task.RunTime"), "no RunTime, since a service runs until it is stopped",
			"a service can't have a run time")
	}
	if len(s.Sites) == 0 {
		c.addProblem(path.Key("Sites"), "at least one data centre", "the list is missing or empty")
	}
	seen := make(map[types.DataCentre]bool)
	for i, site := range s.Sites {
		at := path.Key("Sites").Index(i)
		if seen[site.DataCentre] {
			c.addProblem(at.Key("DataCentre"), "each data centre once", "%q stands twice", site.DataCentre)
		}
		seen[site.DataCentre] = true
		c.checkSite(at, s, site)
		if known {
			c.checkFloor(at, s, site, team)
		}
	}
}

// checkSite checks the count and floor of a service in one data centre, which must be able to hold the tasks.
func (c *checker) checkSite(path Path, s ServiceEntry, site SiteCount) {
	c.checkCount(path.Key("Count"), site.Count, 0, types.MaxTasks)
	if site.Floor < 0 || site.Floor > site.Count {
		c.addProblem(path.Key("Floor"), fmt.Sprintf("0 to Count (%d)", site.Count), "%d is out of range", site.Floor)
	}
	dc, known := c.document.DataCentre(site.DataCentre)
	if !known {
		c.addProblem(path.Key("DataCentre"), "a name from DataCentres", "%q is not a data centre", site.DataCentre)
		return
	}
	if len(s.Task.DataCentres) > 0 && !slices.Contains(s.Task.DataCentres, site.DataCentre) {
		c.addProblem(path.Key("DataCentre"), "a data centre that Task.DataCentres names",
			"the task may not run in %s", site.DataCentre)
	}
	if capacity := dc.Room(s.Task.Resources); site.Count > capacity {
		c.addImpossible(path.Key("Count"), fmt.Sprintf("at most %d, smaller tasks or more workers", capacity),
			"%d tasks of %s do not fit on the workers of %s", site.Count, s.Task.Resources, dc.Name)
	}
}

// checkFloor rejects a floor that needs more than the team's quota.
func (c *checker) checkFloor(path Path, s ServiceEntry, site SiteCount, team Team) {
	need := s.Task.Resources.Times(site.Floor)
	if !need.Fits(team.Quota) {
		c.addImpossible(path.Key("Floor"), fmt.Sprintf("a floor within the quota of %s (%s)", team.Name, team.Quota),
			"the floor of %d tasks needs %s", site.Floor, need)
	}
}

// checkOwner checks the team and the class of an entry. It returns the team, or false when the document has none of
// that name.
func (c *checker) checkOwner(path Path, name types.TeamID, class types.Class) (Team, bool) {
	c.checkClass(path.Key("Class"), class)
	team, known := c.document.Team(name)
	if !known {
		c.addProblem(path.Key("Team"), "a name from Teams", "%q is not a team", name)
		return Team{}, false
	}
	if class.Rank() < team.MaxClass.Rank() {
		c.addProblem(path.Key("Class"), fmt.Sprintf("%s or less urgent, or a higher MaxClass of the team", team.MaxClass),
			"team %s may not use class %s", team.Name, class)
	}
	return team, true
}

// checkWork checks one entry of Batch or Gangs. One task alone must fit into the team's quota and on some worker, and
// its run time must not exceed Within.
func (c *checker) checkWork(path Path, w WorkEntry) {
	team, known := c.checkOwner(path, w.Team, w.Class)
	c.checkTask(path.Key("Task"), w.Task)
	c.checkCount(path.Key("Count"), w.Count, 1, types.MaxTasks)
	if w.Task.RunTime <= 0 {
		c.addProblem(path.Key("Task.RunTime"), "the expected run time of one task, as in 20m", "the run time is missing")
	}
	if w.Within < 0 || w.Within > types.MaxRunTime {
		c.addProblem(path.Key("Within"), fmt.Sprintf("0s (no deadline) to %s", types.MaxRunTime), "%s is out of range", w.Within)
	}
	if w.Within > 0 && w.Within < w.Task.RunTime {
		c.addImpossible(path.Key("Within"), fmt.Sprintf("at least RunTime (%s)", w.Task.RunTime),
			"one task alone takes longer than %s", w.Within)
	}
	if known && !w.Task.Resources.Fits(team.Quota) {
		c.addImpossible(path.Key("Task.Resources"), fmt.Sprintf("at most the quota of %s (%s)", team.Name, team.Quota),
			"one task needs %s", w.Task.Resources)
	}
	if c.maxTasksInOneDataCentre(w.Task) == 0 {
		c.addImpossible(path.Key("Task.Resources"), "a size that fits on at least one worker",
			"no worker where it may run has %s", w.Task.Resources)
	}
}

// checkGang rejects an all-at-once job whose tasks do not fit together into any data centre or into the team's quota.
func (c *checker) checkGang(path Path, w WorkEntry) {
	capacity := c.maxTasksInOneDataCentre(w.Task)
	if capacity > 0 && w.Count > capacity {
		c.addImpossible(path.Key("Count"), fmt.Sprintf("at most %d, smaller tasks or more workers", capacity),
			"no data centre can hold %d tasks of %s at once", w.Count, w.Task.Resources)
	}
	team, known := c.document.Team(w.Team)
	if need := w.Task.Resources.Times(w.Count); known && !need.Fits(team.Quota) {
		c.addImpossible(path.Key("Count"), fmt.Sprintf("a total within the quota of %s (%s)", team.Name, team.Quota),
			"%d tasks at once need %s", w.Count, need)
	}
}

// maxTasksInOneDataCentre returns the largest number of the tasks that fit into one of the data centres where they may
// run.
func (c *checker) maxTasksInOneDataCentre(t types.TaskSpec) int {
	largest := 0
	for _, dc := range c.document.DataCentres {
		if len(t.DataCentres) == 0 || slices.Contains(t.DataCentres, dc.Name) {
			largest = max(largest, dc.Room(t.Resources))
		}
	}
	return largest
}

// checkTotals rejects services that could run one by one but not together, within the quotas and on the workers.
func (c *checker) checkTotals() {
	type teamSite struct {
		team types.TeamID
		site types.DataCentre
	}
	bySite := make(map[types.DataCentre]types.Resources)
	byTeam := make(map[teamSite]types.Resources)
	for i, s := range c.document.Services {
		for j, site := range s.Sites {
			need := s.Task.Resources.Times(site.Count)
			key := teamSite{s.Team, site.DataCentre}
			bySite[site.DataCentre] = bySite[site.DataCentre].Add(need)
			byTeam[key] = byTeam[key].Add(need)
			path := Path("Services").Index(i).Key("Sites").Index(j).Key("Count")
			c.checkTotal(path, byTeam[key], bySite[site.DataCentre], s.Team, site.DataCentre)
		}
	}
}

// checkTotal checks the sums up to one entry: that of the team's services in one data centre against the team's quota,
// and that of all services there against the data centre's capacity.
func (c *checker) checkTotal(path Path, ofTeam, ofSite types.Resources, name types.TeamID, site types.DataCentre) {
	team, _ := c.document.Team(name)
	if !ofTeam.Fits(team.Quota) {
		c.addImpossible(path, fmt.Sprintf("a total within the quota of %s (%s)", name, team.Quota),
			"the team's services up to here need %s in %s", ofTeam, site)
	}
	dc, _ := c.document.DataCentre(site)
	if total := dc.Total(); !ofSite.Fits(total) {
		c.addImpossible(path, fmt.Sprintf("a total within %s", total),
			"all services up to here need %s in %s", ofSite, site)
	}
}
