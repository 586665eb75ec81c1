package specs

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// longestPrefix finds a route by looking at all of them.
func longestPrefix(c *Catalog, host, path string) *Route {
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

func TestMatchFindsTheLongestPrefix(t *testing.T) {
	const seed = 7
	random := rand.New(rand.NewPCG(seed, seed))
	path := func() string {
		return "/" + strings.Repeat("ab/", random.IntN(4)) + []string{"", "a", "b"}[random.IntN(3)]
	}
	host := func() string { return fmt.Sprintf("h%d", random.IntN(3)) }
	for range 200 {
		c := &Catalog{}
		for i := range random.IntN(12) {
			c.Routes = append(c.Routes, Route{Host: host(), Prefix: path(), Queue: Queue{Name: QueueName(fmt.Sprint(i))}})
		}
		for range 20 {
			h, p := host(), path()
			if got, want := c.Match(h, p), longestPrefix(c, h, p); got != want {
				t.Fatalf("seed %d: %s%s matches %+v, want %+v", seed, h, p, got, want)
			}
		}
	}
}

// lookupTime returns the shortest of some times that a number of lookups takes among so many routes.
func lookupTime(t *testing.T, routes int) time.Duration {
	t.Helper()
	const lookups, rounds = 5000, 5
	c := &Catalog{}
	for i := range routes {
		c.Routes = append(c.Routes, Route{Host: fmt.Sprintf("h%d", i), Prefix: "/", Queue: Queue{Name: QueueName(fmt.Sprint(i))}})
	}
	best := time.Hour
	for range rounds {
		began := time.Now()
		for i := range lookups {
			r := &c.Routes[i%routes]
			if _, ok := c.Queue(r.Queue.Name); !ok || c.Match(r.Host, "/x") != r {
				t.Fatalf("route %s was not found", r.Host)
			}
		}
		best = min(best, time.Since(began))
	}
	return best
}

func TestLookupsDoNotGrowWithTheCatalog(t *testing.T) {
	few, many := lookupTime(t, 100), lookupTime(t, 20_000)
	// Looking at every route each time makes it 200 times as long; caches make some difference, too.
	if many > 40*few {
		t.Errorf("lookups among 20,000 routes took %s, among 100 %s", many, few)
	}
}

// Guards against a policy that does not tell from which catalog it is, so that it would count as older than any other.
func TestPoliciesCarryTheVersionOfTheirCatalog(t *testing.T) {
	c := &Catalog{Version: 14, Routes: []Route{{Host: "h", Prefix: "/a/", Queue: Queue{Name: "a"}}}}
	if q := c.Policy(c.Match("h", "/a/1")); q.Name != "a" || q.Version != 14 {
		t.Errorf("the policy of the route is %+v, want that of a with version 14", q)
	}
	if q, ok := c.Queue("a"); !ok || q.Version != 14 {
		t.Errorf("the policy is %+v, want one with version 14", q)
	}
}
