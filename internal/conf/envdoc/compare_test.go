package envdoc

import (
	"strings"
	"testing"
)

func TestCompare(t *testing.T) {
	cases := []struct {
		name         string
		old, updated string
		effect       Effect
		text         string
	}{
		{"MoreTasks", "Count: 4, Floor", "Count: 6, Floor", EffectStarts, "starts 2 more tasks in carthage (4 to 6)"},
		{"FewerTasks", "Count: 4, Floor", "Count: 3, Floor", EffectStops, "stops 1 tasks in carthage (4 to 3)"},
		{"LargerTasks", "Memory: 32GiB", "Memory: 33GiB", EffectRolls, "service desk replaces its tasks"},
		{"MoreSlots", "Slots: 8", "Slots: 9", EffectRolls, "Slots change from 8 to 9"},
		{"Quota", "Cores: 100", "Cores: 90", EffectLimits, "Quota of team bookings changes"},
		{"Floor", "Floor: 3", "Floor: 2", EffectLimits, "floor in carthage from 3 to 2"},
		{"Lease", "TaskLease: 20s", "TaskLease: 25s", EffectLimits, "TaskLease for placement changes from 20s to 25s"},
		{"NewName", "Name: desk", "Name: counter", EffectStops, "service desk stops all of its 4 tasks"},
		{"NewWork", "Name: bundles", "Name: parcels", EffectStarts, "batch work parcels may be submitted"},
		{"MoreWorkers", "{Count: 2,", "{Count: 3,", EffectLimits, "data centre carthage is declared with 192000m"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before := mustParse(t, valid)
			after := mustParse(t, strings.Replace(valid, c.old, c.updated, 1))
			assertChange(t, Compare(before, after), c.effect, c.text)
		})
	}
	t.Run("First", func(t *testing.T) {
		assertChange(t, Compare(nil, mustParse(t, valid)), EffectStarts, "service desk starts 4 tasks: 4 in carthage")
	})
	t.Run("Same", func(t *testing.T) {
		if changes := Compare(mustParse(t, valid), mustParse(t, valid)); len(changes) > 0 {
			t.Fatalf("got %v", changes)
		}
	})
}

func mustParse(t *testing.T, body string) *Document {
	t.Helper()
	d, err := Parse([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func assertChange(t *testing.T, changes []Change, effect Effect, text string) {
	t.Helper()
	for _, c := range changes {
		if c.Effect == effect && strings.Contains(c.Text, text) {
			return
		}
	}
	t.Fatalf("no change %s with %q in %v", effect, text, changes)
}
