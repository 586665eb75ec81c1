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
	// Network joins daemons in memory and can part data centres. It is safe for concurrent use.
	Network struct {
		mu            sync.Mutex
		nodes         map[types.Address]*Node
		partitioned   map[dataCentrePair]bool
		answersToLose int
	}

	// Node is one daemon's place in a Network: a Caller and a Registrar.
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

// Join adds a daemon. Another one with the same address is replaced.
func (n *Network) Join(self Target, calls *meter.Meter) *Node {
	near, far := net.Pipe()
	node := &Node{network: n, self: self, rpc: rpc.NewServer(), meter: calls}
	go node.rpc.ServeConn(far)
	node.client = rpc.NewClient(near)
	n.mu.Lock()
	defer n.mu.Unlock()
	if old, ok := n.nodes[self.Address]; ok {
		// Nobody calls the replaced daemon any more.
		_ = old.client.Close()
	}
	n.nodes[self.Address] = node
	return node
}

// SetDown makes a daemon unreachable until it is set up again.
func (n *Network) SetDown(address types.Address, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if node, ok := n.nodes[address]; ok {
		node.down = down
	}
}

// SetPartitioned parts two data centres in both directions, or joins them again.
func (n *Network) SetPartitioned(a, b types.DataCentre, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[dataCentrePair{a, b}] = partitioned
	n.partitioned[dataCentrePair{b, a}] = partitioned
}

// LoseAnswers makes the answers of the next calls fail after the calls took effect.
func (n *Network) LoseAnswers(calls int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.answersToLose = calls
}

// Close ends the connections of all daemons.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, node := range n.nodes {
		// A connection that is closed already has nothing left to end.
		_ = node.client.Close()
	}
}

// Register makes a service callable under the name.
func (d *Node) Register(name string, service any) error {
	if err := d.rpc.RegisterName(name, service); err != nil {
		return errs.New(errs.Internal, "registering %s: %v", name, err)
	}
	return nil
}

// Call calls a method of another node.
func (d *Node) Call(ctx context.Context, to Target, method Method, args, reply any) error {
	node, err := d.network.findNode(d, to)
	if err == nil {
		err = node.execute(ctx, method, args, reply)
	}
	if err == nil && d.network.loseAnswer() {
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

func (n *Network) findNode(from *Node, to Target) (*Node, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	node, ok := n.nodes[to.Address]
	if !ok || node.down || from.down {
		return nil, errs.New(errs.Unavailable, "%s is down", to.Address)
	}
	if n.partitioned[dataCentrePair{from.self.Site.DataCentre, node.self.Site.DataCentre}] {
		return nil, errs.New(errs.Unavailable, "%s is cut off from %s", to.Address, from.self.Site.DataCentre)
	}
	return node, nil
}

func (n *Network) loseAnswer() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.answersToLose == 0 {
		return false
	}
	n.answersToLose--
	return true
}

// Size returns the gob-encoded size of a value in bytes, without the description of its type.
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
