package specs

import (
	"strings"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

type (
	// CatalogVersion numbers the catalogs that operators put in force; a newer catalog has a higher version.
	CatalogVersion uint64

	// Route maps requests for a host and a path prefix to a queue.
	Route struct {
		Host   string `json:"Host"`
		Prefix string `json:"Prefix"`
		Queue  Queue  `json:"Queue"`
	}

	// Service is a named set of runners.
	Service struct {
		Name types.ServiceName `json:"Name"`
		// Guards means that the runners enforce their capacity themselves: they refuse what does not fit.
		Guards bool `json:"Guards,omitempty"`
	}

	// Catalog holds the routes and services that are in force.
	Catalog struct {
		Version  CatalogVersion `json:"Version"`
		Routes   []Route        `json:"Routes"`
		Services []Service      `json:"Services"`
		// MaxBody limits the body of a request, in bytes.
		MaxBody int64 `json:"MaxBody"`
	}
)

// Match returns the route for the host with the longest prefix of the path, or nil if there is none.
func (c *Catalog) Match(host, path string) *Route {
	if c == nil {
		return nil
	}
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best
}

// Queue returns the policy of a queue, or false if no route maps to it.
func (c *Catalog) Queue(name QueueName) (Queue, bool) {
	if c == nil {
		return Queue{}, false
	}
	for i := range c.Routes {
		if c.Routes[i].Queue.Name == name {
			return c.Routes[i].Queue, true
		}
	}
	return Queue{}, false
}
