package fleet

import (
	"math/rand/v2"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/daemon"
)

// node is one running daemon and a client for it.
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

// liveNodes returns the daemons that receive work.
func (f *fleet) liveNodes() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*node(nil), f.nodes...)
}

// pickNode returns a random one of the daemons that receive work, or nil if there is none.
func (f *fleet) pickNode(r *rand.Rand) *node {
	nodes := f.liveNodes()
	if len(nodes) == 0 {
		return nil
	}
	return nodes[r.IntN(len(nodes))]
}

// removeNode removes a daemon from those that receive work.
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

// replaceNode starts a daemon on a new VM in the data centre of one that was stopped.
func (f *fleet) replaceNode(n *node) {
	m, err := f.addNode(n.site)
	if err != nil {
		f.trace.add("replacing %s: %v", n.id, err)
		return
	}
	f.trace.add("%s replaces %s", m.id, n.id)
}

// stop kills every daemon and closes the stand-ins.
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
