package specs

import (
	"cmp"
	"crypto/subtle"
	"slices"
	"strings"
	"sync"

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
		// Public means that calls on the route need no key.
		Public bool `json:"Public,omitempty"`
	}

	// Service is a named set of runners.
	Service struct {
		Name types.ServiceName `json:"Name"`
		// Guards means that the runners enforce their capacity themselves: they refuse what does not fit.
		Guards bool `json:"Guards,omitempty"`
	}

	// Catalog holds the routes and services that are in force. It must not be changed once it is in use.
	Catalog struct {
		Version  CatalogVersion `json:"Version"`
		Routes   []Route        `json:"Routes"`
		Services []Service      `json:"Services"`
		// MaxBody limits the body of a request, in bytes.
		MaxBody int64 `json:"MaxBody"`
		// NeedsKeys means that calls must carry a key of one of the organisations, unless their route is public.
		NeedsKeys     bool           `json:"NeedsKeys,omitempty"`
		Organisations []Organisation `json:"Organisations,omitempty"`

		indexOnce sync.Once
		// byHost holds the routes of each host, those with the longest prefixes first, and byQueue the first route to each
		// queue. mixed holds the queues with both public routes and others.
		byHost  map[string][]*Route
		byQueue map[QueueName]*Route
		mixed   map[QueueName]bool
		byName  map[OrganisationName]*Organisation
	}
)

// Match returns the route for the host with the longest prefix of the path, or nil if there is none.
func (c *Catalog) Match(host, path string) *Route {
	if c == nil {
		return nil
	}
	c.indexOnce.Do(c.buildIndex)
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Queue returns the policy of a queue, or false if no route maps to it.
func (c *Catalog) Queue(name QueueName) (Queue, bool) {
	if c == nil {
		return Queue{}, false
	}
	c.indexOnce.Do(c.buildIndex)
	r, ok := c.byQueue[name]
	if !ok {
		return Queue{}, false
	}
	return c.Policy(r), true
}

// Policy returns the policy of one of the catalog's routes, with the version of the catalog. The route itself does not hold that.
func (c *Catalog) Policy(r *Route) Queue {
	q := r.Queue
	q.Version = c.Version
	return q
}

// IsMixed reports whether some routes to a queue are public and others are not.
func (c *Catalog) IsMixed(name QueueName) bool {
	if c == nil {
		return false
	}
	c.indexOnce.Do(c.buildIndex)
	return c.mixed[name]
}

// KeyOwner returns the organisation that holds the key, or false when none does. It compares the key with every key of the
// catalog, each in constant time, so that its duration tells nothing about them.
func (c *Catalog) KeyOwner(key KeyDigest) (*Organisation, bool) {
	if c == nil {
		return nil, false
	}
	owner := -1
	for i := range c.Organisations {
		for j := range c.Organisations[i].Keys {
			owner = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(key[:], c.Organisations[i].Keys[j][:]), i, owner)
		}
	}
	if owner < 0 {
		return nil, false
	}
	return &c.Organisations[owner], true
}

// Organisation returns the organisation with the name, or false when there is none.
func (c *Catalog) Organisation(name OrganisationName) (*Organisation, bool) {
	if c == nil {
		return nil, false
	}
	c.indexOnce.Do(c.buildIndex)
	o, ok := c.byName[name]
	return o, ok
}

func (c *Catalog) buildIndex() {
	c.byHost = make(map[string][]*Route)
	c.byQueue = make(map[QueueName]*Route, len(c.Routes))
	c.mixed = make(map[QueueName]bool)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
		first, known := c.byQueue[r.Queue.Name]
		switch {
		case !known:
			c.byQueue[r.Queue.Name] = r
		case first.Public != r.Public:
			c.mixed[r.Queue.Name] = true
		}
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	c.indexOrganisations()
}

func (c *Catalog) indexOrganisations() {
	c.byName = make(map[OrganisationName]*Organisation, len(c.Organisations))
	for i := range c.Organisations {
		o := &c.Organisations[i]
		c.byName[o.Name] = o
	}
}
