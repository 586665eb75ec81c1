package envdoc

import (
	"fmt"
	"reflect"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// Effects of a change.
const (
	// EffectStarts means that tasks start or that callers may submit something new.
	EffectStarts Effect = "Starts"
	// EffectStops means that tasks stop or that callers may no longer submit something.
	EffectStops Effect = "Stops"
	// EffectRolls means that running tasks are replaced by new ones, down to the floor at a time.
	EffectRolls Effect = "Rolls"
	// EffectLimits means that a limit changes and nothing that runs is stopped at once.
	EffectLimits Effect = "Limits"
)

type (
	// Effect is what a change does to what runs.
	Effect string

	// Change is one difference between two documents.
	Change struct {
		Effect Effect `json:"Effect"`
		Path   Path   `json:"Path"`
		// Text tells the change in one sentence.
		Text string `json:"Text"`
	}

	comparer struct {
		changes []Change
	}
)

// String returns the change on one line.
func (c Change) String() string {
	return fmt.Sprintf("%-6s %s", c.Effect, c.Text)
}

// Compare returns what replacing one document by another does. A nil document is an empty one.
func Compare(before, after *Document) []Change {
	if before == nil {
		before = &Document{}
	}
	if after == nil {
		after = &Document{}
	}
	c := &comparer{}
	c.dataCentres(before, after)
	c.teams(before, after)
	c.services(before, after)
	c.work("Batch", "batch work", before.Batch, after.Batch)
	c.work("Gangs", "all-at-once job", before.Gangs, after.Gangs)
	for _, class := range types.Classes() {
		path := Path("Classes").Key(string(class))
		c.fields(path, "for class "+string(class), before.Policy(class), after.Policy(class))
	}
	c.fields("Placement", "for placement", before.Placement, after.Placement)
	c.fields("Requests", "for requests", before.Requests, after.Requests)
	c.fields("Link", "for the paid link", before.Link, after.Link)
	return c.changes
}

func (c *comparer) add(effect Effect, path Path, format string, args ...any) {
	c.changes = append(c.changes, Change{Effect: effect, Path: path, Text: fmt.Sprintf(format, args...)})
}

// fields reports each field that differs between two structs of one type.
func (c *comparer) fields(path Path, where string, before, after any) {
	b, a := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range b.NumField() {
		name := b.Type().Field(i).Name
		old, fresh := b.Field(i).Interface(), a.Field(i).Interface()
		if !reflect.DeepEqual(old, fresh) {
			c.add(EffectLimits, path.Key(name), "%s %s changes from %v to %v", name, where, old, fresh)
		}
	}
}

func (c *comparer) dataCentres(before, after *Document) {
	for _, dc := range after.DataCentres {
		path := Path("DataCentres").Key(string(dc.Name))
		old, known := before.DataCentre(dc.Name)
		switch {
		case !known:
			c.add(EffectLimits, path, "data centre %s is added with %s", dc.Name, dc.Total())
		case !reflect.DeepEqual(old, dc):
			c.add(EffectLimits, path, "data centre %s is declared with %s, before with %s", dc.Name, dc.Total(), old.Total())
		}
	}
	for _, dc := range before.DataCentres {
		if _, kept := after.DataCentre(dc.Name); !kept {
			c.add(EffectLimits, Path("DataCentres").Key(string(dc.Name)), "data centre %s is removed", dc.Name)
		}
	}
}

func (c *comparer) teams(before, after *Document) {
	for _, t := range after.Teams {
		path := Path("Teams").Key(string(t.Name))
		old, known := before.Team(t.Name)
		if !known {
			c.add(EffectStarts, path, "team %s may submit work up to %s", t.Name, t.Quota)
			continue
		}
		c.fields(path, "of team "+string(t.Name), old, t)
	}
	for _, t := range before.Teams {
		if _, kept := after.Team(t.Name); !kept {
			c.add(EffectStops, Path("Teams").Key(string(t.Name)), "team %s may submit nothing more", t.Name)
		}
	}
}

func (c *comparer) services(before, after *Document) {
	for _, s := range after.Services {
		path := Path("Services").Key(string(s.Name))
		old, known := before.Service(s.Name)
		if !known {
			c.add(EffectStarts, path, "service %s starts %d tasks%s", s.Name, tasksOf(s), sitesOf(s))
			continue
		}
		c.service(path, old, s)
	}
	for _, s := range before.Services {
		if _, kept := after.Service(s.Name); !kept {
			path := Path("Services").Key(string(s.Name))
			c.add(EffectStops, path, "service %s stops all of its %d tasks%s", s.Name, tasksOf(s), sitesOf(s))
		}
	}
}

func (c *comparer) service(path Path, old, fresh ServiceEntry) {
	if rolls(old, fresh) {
		c.add(EffectRolls, path.Key("Task"), "service %s replaces its tasks: %s", fresh.Name, rollReason(old, fresh))
	}
	counts := make(map[types.DataCentre]SiteCount)
	for _, site := range old.Sites {
		counts[site.DataCentre] = site
	}
	for _, site := range fresh.Sites {
		c.site(path, fresh.Name, counts[site.DataCentre], site)
		delete(counts, site.DataCentre)
	}
	for _, site := range old.Sites {
		if gone, left := counts[site.DataCentre]; left {
			c.site(path, fresh.Name, gone, SiteCount{DataCentre: site.DataCentre})
		}
	}
	if old.Team != fresh.Team {
		c.add(EffectLimits, path.Key("Team"), "service %s moves from team %s to %s", fresh.Name, old.Team, fresh.Team)
	}
	if old.Class != fresh.Class {
		c.add(EffectLimits, path.Key("Class"), "service %s changes from class %s to %s", fresh.Name, old.Class, fresh.Class)
	}
}

func (c *comparer) site(path Path, name types.ServiceName, old, fresh SiteCount) {
	at := path.Key("Sites").Key(string(fresh.DataCentre))
	switch {
	case fresh.Count > old.Count:
		c.add(EffectStarts, at, "service %s starts %d more tasks in %s (%d to %d)",
			name, fresh.Count-old.Count, fresh.DataCentre, old.Count, fresh.Count)
	case fresh.Count < old.Count:
		c.add(EffectStops, at, "service %s stops %d tasks in %s (%d to %d)",
			name, old.Count-fresh.Count, fresh.DataCentre, old.Count, fresh.Count)
	}
	if fresh.Floor != old.Floor {
		c.add(EffectLimits, at.Key("Floor"), "service %s changes its floor in %s from %d to %d",
			name, fresh.DataCentre, old.Floor, fresh.Floor)
	}
}

func (c *comparer) work(list Path, kind string, before, after []WorkEntry) {
	known := make(map[string]WorkEntry)
	for _, w := range before {
		known[w.Name] = w
	}
	for _, w := range after {
		path := list.Key(w.Name)
		old, ok := known[w.Name]
		delete(known, w.Name)
		if !ok {
			c.add(EffectStarts, path, "%s %s may be submitted", kind, w.Name)
			continue
		}
		c.fields(path, "of "+kind+" "+w.Name+" (jobs accepted from now on)", old, w)
	}
	for _, w := range before {
		if _, gone := known[w.Name]; gone {
			c.add(EffectStops, list.Key(w.Name),
				"%s %s may no longer be submitted; accepted jobs run to their end", kind, w.Name)
		}
	}
}

// rolls tells whether running tasks must be replaced for the change to take effect.
func rolls(old, fresh ServiceEntry) bool {
	return !reflect.DeepEqual(old.Task, fresh.Task) || old.Slots != fresh.Slots || old.Connections != fresh.Connections
}

func rollReason(old, fresh ServiceEntry) string {
	inner := &comparer{}
	inner.fields("", "of each task", old.Task, fresh.Task)
	if old.Slots != fresh.Slots {
		inner.add(EffectRolls, "Slots", "Slots change from %d to %d", old.Slots, fresh.Slots)
	}
	if old.Connections != fresh.Connections {
		inner.add(EffectRolls, "Connections", "Connections change from %d to %d", old.Connections, fresh.Connections)
	}
	text := ""
	for i, change := range inner.changes {
		if i > 0 {
			text += "; "
		}
		text += change.Text
	}
	return text
}

func tasksOf(s ServiceEntry) int {
	sum := 0
	for _, site := range s.Sites {
		sum += site.Count
	}
	return sum
}

func sitesOf(s ServiceEntry) string {
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
