package types

import "testing"

// A count that ignores one of the resources overcommits a runner.
func TestCountInIsLimitedByTheScarcestResource(t *testing.T) {
	within := Resources{Cores: 8 * Core, Memory: 16 * GiB, Accelerators: 2}
	for name, c := range map[string]struct {
		need Resources
		want int
	}{
		"Cores":             {need: Resources{Cores: 3 * Core, Memory: GiB}, want: 2},
		"Memory":            {need: Resources{Cores: Core, Memory: 5 * GiB}, want: 3},
		"Accelerators":      {need: Resources{Cores: Core, Memory: GiB, Accelerators: 2}, want: 1},
		"FitsNot":           {need: Resources{Cores: 9 * Core}},
		"NeedsNothing":      {want: 50},
		"MoreThanTheLimit":  {need: Resources{Cores: Core / 10}, want: 50},
		"NoneOfAnAbsentOne": {need: Resources{Accelerators: 3}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.need.CountIn(within, 50); got != c.want {
				t.Errorf("%v fits %d times within %v, want %d", c.need, got, within, c.want)
			}
		})
	}
	t.Run("Overcommitted", func(t *testing.T) {
		if got := (Resources{Cores: Core}).CountIn(Resources{Cores: -Core}, 50); got != 0 {
			t.Errorf("one core fits %d times within less than nothing, want 0", got)
		}
	})
}
