package envdoc

import (
	"fmt"
	"reflect"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// Values of Effect.
const (
	// EffectStarts means that tasks start, or that callers may submit work that they could not submit before.
	EffectStarts Effect = "Starts"
	// EffectStops means that tasks stop, or that callers may no longer submit some work.
	EffectStops Effect = "Stops"
	// EffectRolls means that a roll-out replaces running tasks with new ones and keeps at least the floor running.
	EffectRolls Effect = "Rolls"
	// EffectLimits means that a limit changes, which stops no running task at once.
	EffectLimits Effect = "Limits"
)

type (
	// Effect is the kind of effect that a change has on running and submitted work.
	Effect string

	// Change is one difference between two documents.
	Change struct {
		Effect Effect `json:"Effect"`
		Path   Path   `json:"Path"`
		// Text describes the change in one sentence.
		Text string `json:"Text"`
	}

	// comparer collects the differences between two documents.
	comparer struct {
		changes []Change
	}
)

// String returns the change on one line.
func (c Change) String() string {
	return fmt.Sprintf("%-6s %s", c.Effect, c.Text)
}

// Compare returns the changes that take effect when one document replaces another. A nil document is an empty one.
func Compare(before, after *Document) []Change {
	if before == nil {
		before = &Document{}
	}
	if after == nil {
		after = &Document{}
	}
	c := &comparer{}
	c.compareDataCentres(before, after)
	c.compareTeams(before, after)
	c.compareServices(before, after)
	c.compareWork("Batch", "batch work", before.Batch, after.Batch)
	c.compareWork("Gangs", "all-at-once job", before.Gangs, after.Gangs)
	for _, class := range types.Classes() {
		path := Path("Classes").Key(string(class))
		c.compareFields(path, "for class "+string(class), before.Policy(class), after.Policy(class))
	}
	c.compareFields("Placement", "for placement", before.Placement, after.Placement)
	c.compareFields("Requests", "for requests", before.Requests, after.Requests)
	c.compareFields("Link", "for the paid link", before.Link, after.Link)
	return c.changes
}

func (c *comparer) addChange(effect Effect, path Path, format string, args ...any) {
	c.changes = append(c.changes, Change{Effect: effect, Path: path, Text: fmt.Sprintf(format, args...)})
}

// compareFields adds a change for each field that differs between two structs of one type.
func (c *comparer) compareFields(path Path, where string, before, after any) {
	b, a := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range b.NumField() {
		name := b.Type().Field(i).Name
		old, updated := b.Field(i).Interface(), a.Field(i).Interface()
		if !reflect.DeepEqual(old, updated) {
			c.addChange(EffectLimits, path.Key(name), "%s %s changes from %v to %v", name, where, old, updated)
		}
	}
}

func (c *comparer) compareDataCentres(before, after *Document) {
	for _, dc := range after.DataCentres {
		path := Path("DataCentres").Key(string(dc.Name))
		old, known := before.DataCentre(dc.Name)
		switch {
		case !known:
			c.addChange(EffectLimits, path, "data centre %s is added with %s", dc.Name, dc.Total())
		case !reflect.DeepEqual(old, dc):
			c.addChange(EffectLimits, path, "data centre %s is declared with %s, before with %s", dc.Name, dc.Total(), old.Total())
		}
	}
	for _, dc := range before.DataCentres {
		if _, kept := after.DataCentre(dc.Name); !kept {
			c.addChange(EffectLimits, Path("DataCentres").Key(string(dc.Name)), "data centre %s is removed", dc.Name)
		}
	}
}

func (c *comparer) compareTeams(before, after *Document) {
	for _, t := range after.Teams {
		path := Path("Teams").Key(string(t.Name))
		old, known := before.Team(t.Name)
		if !known {
			c.addChange(EffectStarts, path, "team %s may submit work up to %s", t.Name, t.Quota)
			continue
		}
		c.compareFields(path, "of team "+string(t.Name), old, t)
	}
	for _, t := range before.Teams {
		if _, kept := after.Team(t.Name); !kept {
			c.addChange(EffectStops, Path("Teams").Key(string(t.Name)), "team %s may submit nothing more", t.Name)
		}
	}
}

func (c *comparer) compareServices(before, after *Document) {
	for _, s := range after.Services {
		path := Path("Services").Key(string(s.Name))
		old, known := before.Service(s.Name)
		if !known {
			c.addChange(EffectStarts, path, "service %s starts %d tasks%s", s.Name, totalTasks(s), siteCounts(s))
			continue
		}
		c.compareService(path, old, s)
	}
	for _, s := range before.Services {
		if _, kept := after.Service(s.Name); !kept {
			path := Path("Services").Key(string(s.Name))
			c.addChange(EffectStops, path, "service %s stops all of its %d tasks%s", s.Name, totalTasks(s), siteCounts(s))
		}
	}
}

func (c *comparer) compareService(path Path, old, updated ServiceEntry) {
	if requiresRollout(old, updated) {
		c.addChange(EffectRolls, path.Key("Task"), "service %s replaces its tasks: %s", updated.Name, rolloutReason(old, updated))
	}
	counts := make(map[types.DataCentre]SiteCount)
	for _, site := range old.Sites {
		counts[site.DataCentre] = site
	}
	for _, site := range updated.Sites {
		c.compareSite(path, updated.Name, counts[site.DataCentre], site)
		delete(counts, site.DataCentre)
	}
	for _, site := range old.Sites {
		if removed, remains := counts[site.DataCentre]; remains {
			c.compareSite(path, updated.Name, removed, SiteCount{DataCentre: site.DataCentre})
		}
	}
	if old.Team != updated.Team {
		c.addChange(EffectLimits, path.Key("Team"), "service %s moves from team %s to %s", updated.Name, old.Team, updated.Team)
	}
	if old.Class != updated.Class {
		c.addChange(EffectLimits, path.Key("Class"), "service %s changes from class %s to %s", updated.Name, old.Class, updated.Class)
	}
}

func (c *comparer) compareSite(path Path, name types.ServiceName, old, updated SiteCount) {
	at := path.Key("Sites").Key(string(updated.DataCentre))
	switch {
	case updated.Count > old.Count:
		c.addChange(EffectStarts, at, "service %s starts %d more tasks in %s (%d to %d)",
			name, updated.Count-old.Count, updated.DataCentre, old.Count, updated.Count)
	case updated.Count < old.Count:
		c.addChange(EffectStops, at, "service %s stops %d tasks in %s (%d to %d)",
			name, old.Count-updated.Count, updated.DataCentre, old.Count, updated.Count)
	}
	if updated.Floor != old.Floor {
		c.addChange(EffectLimits, at.Key("Floor"), "service %s changes its floor in %s from %d to %d",
			name, updated.DataCentre, old.Floor, updated.Floor)
	}
}

// compareWork compares the entries of Batch or Gangs. Changes apply to jobs that are accepted from then on.
func (c *comparer) compareWork(list Path, kind string, before, after []WorkEntry) {
	known := make(map[string]WorkEntry)
	for _, w := range before {
		known[w.Name] = w
	}
	for _, w := range after {
		path := list.Key(w.Name)
		old, ok := known[w.Name]
		delete(known, w.Name)
		if !ok {
			c.addChange(EffectStarts, path, "%s %s may be submitted", kind, w.Name)
			continue
		}
		c.compareFields(path, "of "+kind+" "+w.Name+" (jobs accepted from now on)", old, w)
	}
	for _, w := range before {
		if _, removed := known[w.Name]; removed {
			c.addChange(EffectStops, list.Key(w.Name),
				"%s %s may no longer be submitted; accepted jobs run to their end", kind, w.Name)
		}
	}
}

// requiresRollout reports whether running tasks must be replaced for the change to take effect.
func requiresRollout(old, updated ServiceEntry) bool {
	return !reflect.DeepEqual(old.Task, updated.Task) || old.Slots != updated.Slots || old.Connections != updated.Connections
}

// rolloutReason lists the changes that require a roll-out.
func rolloutReason(old, updated ServiceEntry) string {
	taskChanges := &comparer{}
	taskChanges.compareFields("", "of each task", old.Task, updated.Task)
	if old.Slots != updated.Slots {
		taskChanges.addChange(EffectRolls, "Slots", "Slots change from %d to %d", old.Slots, updated.Slots)
	}
	if old.Connections != updated.Connections {
		taskChanges.addChange(EffectRolls, "Connections", "Connections change from %d to %d", old.Connections, updated.Connections)
	}
	text := ""
	for i, change := range taskChanges.changes {
		if i > 0 {
			text += "; "
		}
		text += change.Text
	}
	return text
}

func totalTasks(s ServiceEntry) int {
	sum := 0
	for _, site := range s.Sites {
		sum += site.Count
	}
	return sum
}

// siteCounts returns the counts in all data centres, with a leading colon, as in ": 4 in carthage, 2 in sousse".
func siteCounts(s ServiceEntry) string {
	text := ""
	for i, site := range s.Sites {
		separator := ", "
		if i == 0 {
			separator = ": "
		}
		text += fmt.Sprintf("%s%d in %s", separator, site.Count, site.DataCentre)
	}
	return text
}
