package soak

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

const (
	// chunkSize is the maximum number of bytes that a proxy forwards at once.
	chunkSize = 32 << 10
	// rateChunk is how many bytes a connection sends over a link with a rate before another one has its turn.
	rateChunk = 4 << 10
	// holdCheckInterval is the interval at which a held connection checks whether the hold has ended.
	holdCheckInterval = 5 * time.Millisecond
)

type (
	// linkFault is what a proxy does to the connections through it. The zero value means no fault.
	linkFault struct {
		// delay is how long each chunk of data is held back.
		delay time.Duration
		// holdRequests and holdAnswers hold back all data in one direction. It is delivered once the hold ends, as over
		// a network that loses packets.
		holdRequests bool
		holdAnswers  bool
	}

	// proxy listens on loopback and forwards connections to a target.
	proxy struct {
		clock   clockwork.Clock
		address types.Address
		target  types.Address
		// rate limits the answers on all connections together, in bytes per second; zero means no limit.
		rate int64

		mu        sync.Mutex
		listeners []net.Listener
		// freeAt is when the answers that were accepted so far have passed the link.
		freeAt      time.Time
		fault       linkFault
		connections map[net.Conn]struct{}
		closed      bool
	}
)

func newProxy(clock clockwork.Clock, target types.Address, rate int64) (*proxy, error) {
	p := &proxy{clock: clock, target: target, rate: rate, connections: make(map[net.Conn]struct{})}
	address, err := p.listen()
	if err != nil {
		return nil, err
	}
	p.address = address
	return p, nil
}

// listen makes the proxy listen on one more address, which it returns.
func (p *proxy) listen() (types.Address, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errs.New(errs.Unavailable, "listening for proxied connections: %v", err)
	}
	p.mu.Lock()
	p.listeners = append(p.listeners, listener)
	p.mu.Unlock()
	go p.accept(listener)
	return types.Address(listener.Addr().String()), nil
}

func (p *proxy) accept(listener net.Listener) {
	for {
		caller, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go p.forward(caller)
	}
}

// forward connects to the target and copies data both ways until either side closes its connection.
func (p *proxy) forward(caller net.Conn) {
	server, err := net.Dial("tcp", string(p.target))
	if err != nil {
		p.closeConnection(caller)
		return
	}
	if !p.track(caller) || !p.track(server) {
		return
	}
	defer p.closeConnection(caller)
	defer p.closeConnection(server)
	done := make(chan struct{}, 2)
	go func() {
		p.copyOneWay(caller, server, 0, func(f linkFault) bool { return f.holdRequests })
		done <- struct{}{}
	}()
	go func() {
		p.copyOneWay(server, caller, p.rate, func(f linkFault) bool { return f.holdAnswers })
		done <- struct{}{}
	}()
	<-done
}

// track records an open connection. If the proxy is closed, it closes the connection and returns false.
func (p *proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return false
	}
	p.connections[c] = struct{}{}
	return true
}

func (p *proxy) closeConnection(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, c)
	// Both ends notice the close; after an error nothing more can be done.
	_ = c.Close()
}

// copyOneWay copies data in one direction, at a rate and under the current fault, until reading or writing fails.
func (p *proxy) copyOneWay(from, to net.Conn, rate int64, isHeld func(linkFault) bool) {
	buffer := make([]byte, chunkSize)
	if rate > 0 {
		buffer = buffer[:rateChunk]
	}
	for {
		n, err := from.Read(buffer)
		p.clock.Sleep(p.reserve(n, rate))
		if n > 0 && p.awaitDelivery(from, isHeld) {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// reserve returns how long to wait until so many bytes have passed the link.
func (p *proxy) reserve(n int, rate int64) time.Duration {
	if rate <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(time.Duration(n) * time.Second / time.Duration(rate))
	return p.freeAt.Sub(now)
}

// awaitDelivery waits for the delay and the hold of the current fault. It returns false if the connection was closed.
func (p *proxy) awaitDelivery(c net.Conn, isHeld func(linkFault) bool) bool {
	p.mu.Lock()
	delay := p.fault.delay
	p.mu.Unlock()
	p.clock.Sleep(delay)
	for {
		p.mu.Lock()
		_, open := p.connections[c]
		held := isHeld(p.fault)
		p.mu.Unlock()
		if !open || !held {
			return open
		}
		p.clock.Sleep(holdCheckInterval)
	}
}

// isFrom reports whether an address is that of one of the connections that the proxy has made.
func (p *proxy) isFrom(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		if c.LocalAddr().String() == address {
			return true
		}
	}
	return false
}

// setFault replaces the current fault.
func (p *proxy) setFault(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// resetConnections closes every connection with a TCP reset.
func (p *proxy) resetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		if tcp, ok := c.(*net.TCPConn); ok {
			// It fails only if the connection is closed already; then no reset is needed.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
		delete(p.connections, c)
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	for _, l := range p.listeners {
		// It accepts nothing more, even if Close returns an error.
		_ = l.Close()
	}
	p.mu.Unlock()
	p.resetConnections()
}
