package fleet

import (
	"math/rand/v2"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/daemon"
)

// node is one running daemon.
type node struct {
	id     types.VMID
	site   types.Site
	daemon *daemon.Daemon
	front  *front
}

// add starts a daemon on a new VM.
func (f *fleet) add(site types.Site) (*node, error) {
	f.mu.Lock()
	f.made++
	id := nameOf(site, f.made)
	f.mu.Unlock()
	d, err := f.world.StartEntry(id, site)
	if err != nil {
		return nil, err
	}
	n := &node{id: id, site: site, daemon: d}
	n.front = &front{http: f.world.http, base: d.URL(), token: f.world.CallerToken.Reveal()}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = append(f.nodes, n)
	return n, nil
}

func (n *node) leads() bool {
	_, leading := n.daemon.Leading()
	return leading
}

// live returns the daemons that take work.
func (f *fleet) live() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*node(nil), f.nodes...)
}

// pick returns one of the daemons that take work, or nil.
func (f *fleet) pick(r *rand.Rand) *node {
	nodes := f.live()
	if len(nodes) == 0 {
		return nil
	}
	return nodes[r.IntN(len(nodes))]
}

// remove takes a daemon out of the balancer.
func (f *fleet) remove(n *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, m := range f.nodes {
		if m == n {
			f.nodes = append(f.nodes[:i:i], f.nodes[i+1:]...)
			return
		}
	}
}

// replace starts a new VM in place of one that is gone.
func (f *fleet) replace(n *node) {
	m, err := f.add(n.site)
	if err != nil {
		f.trace.add("replacing %s: %v", n.id, err)
		return
	}
	f.trace.add("%s replaces %s", m.id, n.id)
}

// stop ends every daemon and the stand-ins.
func (f *fleet) stop() {
	for _, n := range f.live() {
		f.remove(n)
		if err := f.world.KillEntry(n.id); err != nil {
			f.trace.add("stopping %s: %v", n.id, err)
		}
	}
	f.world.http.CloseIdleConnections()
	f.world.Platform.Close()
}
