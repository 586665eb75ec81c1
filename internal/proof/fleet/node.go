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
	client *entryClient
}

// addNode starts a daemon on a new VM.
func (f *fleet) addNode(site types.Site) (*node, error) {
	f.mu.Lock()
	f.nodeCount++
	id := entryID(site, f.nodeCount)
	f.mu.Unlock()
	d, err := f.cluster.StartEntry(id, site)
	if err != nil {
		return nil, err
	}
	n := &node{id: id, site: site, daemon: d}
	n.client = &entryClient{http: f.cluster.http, base: d.URL(), token: f.cluster.CallerToken.Reveal()}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = append(f.nodes, n)
	return n, nil
}

func (n *node) isLeading() bool {
	_, leading := n.daemon.Leading()
	return leading
}

// liveNodes returns the daemons that take work.
func (f *fleet) liveNodes() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*node(nil), f.nodes...)
}

// pickNode returns one of the daemons that take work, or nil.
func (f *fleet) pickNode(r *rand.Rand) *node {
	nodes := f.liveNodes()
	if len(nodes) == 0 {
		return nil
	}
	return nodes[r.IntN(len(nodes))]
}

// removeNode takes a daemon out of the balancer.
func (f *fleet) removeNode(n *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, m := range f.nodes {
		if m == n {
			f.nodes = append(f.nodes[:i:i], f.nodes[i+1:]...)
			return
		}
	}
}

// replaceNode starts a new VM in place of one that is gone.
func (f *fleet) replaceNode(n *node) {
	m, err := f.addNode(n.site)
	if err != nil {
		f.trace.add("replacing %s: %v", n.id, err)
		return
	}
	f.trace.add("%s replaces %s", m.id, n.id)
}

// stop ends every daemon and the stand-ins.
func (f *fleet) stop() {
	for _, n := range f.liveNodes() {
		f.removeNode(n)
		if err := f.cluster.KillEntry(n.id); err != nil {
			f.trace.add("stopping %s: %v", n.id, err)
		}
	}
	f.cluster.http.CloseIdleConnections()
	f.cluster.Platform.Close()
}
