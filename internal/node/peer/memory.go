package peer

import (
	"bytes"
	"context"
	"encoding/gob"
	"net"
	"net/rpc"
	"sync"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

type (
	// Network connects daemons in memory. It can make daemons unreachable, partition data centres and lose answers.
	// It is safe for concurrent use.
	Network struct {
		mu            sync.Mutex
		nodes         map[types.Address]*Node
		partitioned   map[dataCentrePair]bool
		answersToLose int
	}

	// Node is one daemon in a Network. It implements Caller and Registrar.
	Node struct {
		network *Network
		self    Target
		rpc     *rpc.Server
		client  *rpc.Client
		meter   *meter.Meter
		down    bool
	}

	dataCentrePair struct {
		from, to types.DataCentre
	}
)

// NewNetwork returns a network without nodes.
func NewNetwork() *Network {
	return &Network{nodes: make(map[types.Address]*Node), partitioned: make(map[dataCentrePair]bool)}
}

// Join adds a daemon, whose calls are counted in the meter, and returns its node. It replaces a daemon with the same
// address.
func (n *Network) Join(self Target, calls *meter.Meter) *Node {
	near, far := net.Pipe()
	node := &Node{network: n, self: self, rpc: rpc.NewServer(), meter: calls}
	go node.rpc.ServeConn(far)
	node.client = rpc.NewClient(near)
	n.mu.Lock()
	defer n.mu.Unlock()
	if old, ok := n.nodes[self.Address]; ok {
		// No new call reaches the replaced daemon, so an error of Close has no consequence.
		_ = old.client.Close()
	}
	n.nodes[self.Address] = node
	return node
}

// SetDown makes a daemon unreachable and its own calls fail, or restores it. An unknown address is ignored.
func (n *Network) SetDown(address types.Address, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if node, ok := n.nodes[address]; ok {
		node.down = down
	}
}

// SetPartitioned partitions two data centres from each other in both directions, or restores the network between them.
func (n *Network) SetPartitioned(a, b types.DataCentre, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[dataCentrePair{a, b}] = partitioned
	n.partitioned[dataCentrePair{b, a}] = partitioned
}

// LoseAnswers makes the given number of next successful calls fail with kind Lost after they took effect.
func (n *Network) LoseAnswers(calls int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.answersToLose = calls
}

// Close closes the connections of all daemons.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, node := range n.nodes {
		// Close fails only on a connection that is closed already.
		_ = node.client.Close()
	}
}

// Register makes a service callable under the name. It returns an error of kind Internal when net/rpc rejects it.
func (d *Node) Register(name string, service any) error {
	if err := d.rpc.RegisterName(name, service); err != nil {
		return errs.New(errs.Internal, "registering %s: %v", name, err)
	}
	return nil
}

// Call calls a method of another node and counts the call. It implements Caller.
func (d *Node) Call(ctx context.Context, to Target, method Method, args, reply any) error {
	node, err := d.network.findNode(d, to)
	if err == nil {
		err = node.execute(ctx, method, args, reply)
	}
	if err == nil && d.network.shouldLoseAnswer() {
		err = errs.New(errs.Lost, "the answer of %s was lost", method)
	}
	sample := meter.Sample{Kind: method.Kind(), Remote: to.Site.Region, Failed: err != nil}
	if err == nil {
		sample.Sent = Size(args)
		sample.Read = Size(reply)
	}
	d.meter.Count(sample)
	return err
}

// execute runs a method of this node and waits for the answer or the end of ctx.
func (d *Node) execute(ctx context.Context, method Method, args, reply any) error {
	call := d.client.Go(string(method), args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return errs.New(errs.Lost, "calling %s: %v", method, ctx.Err())
	}
	if call.Error != nil {
		return errs.Decode(call.Error.Error())
	}
	return nil
}

// findNode returns the node at the target's address. It returns an error of kind Unavailable when the node is missing,
// either daemon is down, or their data centres are partitioned.
func (n *Network) findNode(from *Node, to Target) (*Node, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	node, ok := n.nodes[to.Address]
	if !ok || node.down || from.down {
		return nil, errs.New(errs.Unavailable, "%s is down", to.Address)
	}
	if n.partitioned[dataCentrePair{from.self.Site.DataCentre, node.self.Site.DataCentre}] {
		return nil, errs.New(errs.Unavailable, "%s is partitioned from %s", to.Address, from.self.Site.DataCentre)
	}
	return node, nil
}

// shouldLoseAnswer reports whether the answer of the current call is to be lost, and lowers the count of answers to
// lose.
func (n *Network) shouldLoseAnswer() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.answersToLose == 0 {
		return false
	}
	n.answersToLose--
	return true
}

// Size returns the gob-encoded size of a value in bytes, without the description of its type. It returns 0 for a value
// that cannot be encoded.
func Size(value any) int {
	var buffer bytes.Buffer
	e := gob.NewEncoder(&buffer)
	if err := e.Encode(value); err != nil {
		return 0
	}
	first := buffer.Len()
	if err := e.Encode(value); err != nil {
		return first
	}
	return buffer.Len() - first
}
