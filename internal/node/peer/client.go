package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

const (
	// dialTimeout bounds opening a connection together with its authentication, and on the server the authentication.
	dialTimeout = time.Second
	// silenceTimeout is how long calls on a connection may time out without a byte read from it before it is closed.
	silenceTimeout = 1200 * time.Millisecond
)

type (
	// Security authenticates both ends of a connection. Its methods return the connection to use from then on.
	Security interface {
		// Accept secures a connection that another daemon opened.
		Accept(ctx context.Context, conn net.Conn) (net.Conn, error)
		// Dial secures a connection that this daemon opened.
		Dial(ctx context.Context, conn net.Conn) (net.Conn, error)
	}

	// Client is a Caller over TCP. It keeps one connection to each address. With a nil Security the connections are not
	// authenticated.
	Client struct {
		Security Security

		meter *meter.Meter
		clock clockwork.Clock

		mu    sync.Mutex
		links map[types.Address]*link
		dials map[types.Address]*dial
	}

	// link is the connection to one address.
	link struct {
		rpc  *rpc.Client
		conn *countedConn
		// silentSince is when a call first timed out without a byte read during it, as Unix time in nanoseconds. An
		// answer resets it to 0, and so does a call that times out although bytes were read during it.
		silentSince atomic.Int64
	}

	// dial is an attempt to connect that all waiting calls to an address share. link and err are set before done is
	// closed.
	dial struct {
		done chan struct{}
		link *link
		err  error
	}
)

// NewClient returns a client without connections.
func NewClient(calls *meter.Meter, clock clockwork.Clock) *Client {
	return &Client{
		meter: calls, clock: clock,
		links: make(map[types.Address]*link), dials: make(map[types.Address]*dial),
	}
}

// Call calls a method of another daemon and waits for the answer or the end of ctx. It connects first if there is no
// connection. The bytes counted for a call include those of other calls on the connection at the same time.
func (c *Client) Call(ctx context.Context, to Target, method Method, args, reply any) error {
	l, err := c.linkTo(ctx, to.Address)
	if err != nil {
		c.meter.Count(meter.Sample{Kind: method.Kind(), Remote: to.Site.Region, Failed: true})
		return err
	}
	sentBefore, readBefore := l.conn.sentBytes.Load(), l.conn.readBytes.Load()
	sent, done := make(chan struct{}), make(chan *rpc.Call, 1)
	// Sending blocks while the other end takes no bytes, which must not hold the caller up beyond its limit.
	go func() {
		l.rpc.Go(string(method), args, reply, done)
		close(sent)
	}()
	select {
	case call := <-done:
		<-sent
		l.silentSince.Store(0)
		err = c.callError(to.Address, l, call.Error)
	case <-ctx.Done():
		err = errs.New(errs.Lost, "calling %s at %s: %v", method, to.Address, ctx.Err())
		c.closeIfSilent(to.Address, l, readBefore)
	}
	c.meter.Count(meter.Sample{
		Kind:   method.Kind(),
		Remote: to.Site.Region,
		Sent:   int(l.conn.sentBytes.Load() - sentBefore),
		Read:   int(l.conn.readBytes.Load() - readBefore),
		Failed: err != nil,
	})
	return err
}

// Close closes all connections. Calls in flight fail with kind Lost.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, l := range c.links {
		_ = l.rpc.Close()
		delete(c.links, address)
	}
}

// callError classifies the error of a finished call: an error of the remote method keeps its kind; any other means that
// the connection failed, which closes it and makes the error Lost.
func (c *Client) callError(address types.Address, l *link, err error) error {
	if err == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return errs.Decode(string(remote))
	}
	c.closeLink(address, l)
	return errs.New(errs.Lost, "calling %s: %v", address, err)
}

// closeIfSilent closes a connection on which a call has timed out if nothing was read during the call and the first
// such call timed out longer than the silence timeout ago: the other end may be unreachable for good. A single call
// that times out does not close the connection, since others share it. readBefore is the count of bytes read when the
// call was sent.
func (c *Client) closeIfSilent(address types.Address, l *link, readBefore int64) {
	now := c.clock.Now().UnixNano()
	if l.conn.readBytes.Load() != readBefore {
		l.silentSince.Store(0)
		return
	}
	if l.silentSince.CompareAndSwap(0, now) {
		return
	}
	if time.Duration(now-l.silentSince.Load()) > silenceTimeout {
		c.closeLink(address, l)
	}
}

// linkTo returns the connection to an address. Calls that find none, or one on which a write has failed, start or join one attempt to
// connect: a burst of calls must not overflow the other daemon's queue of new connections.
func (c *Client) linkTo(ctx context.Context, address types.Address) (*link, error) {
	c.mu.Lock()
	if l, ok := c.links[address]; ok && !l.conn.failed.Load() {
		c.mu.Unlock()
		return l, nil
	}
	d, dialing := c.dials[address]
	if !dialing {
		d = &dial{done: make(chan struct{})}
		c.dials[address] = d
		go c.connect(address, d)
	}
	c.mu.Unlock()
	select {
	case <-d.done:
		return d.link, d.err
	case <-ctx.Done():
		return nil, errs.New(errs.Unavailable, "connecting to %s: %v", address, ctx.Err())
	}
}

// connect opens the connection that the calls of a dial wait for. It does not depend on the context of any of them.
func (c *Client) connect(address types.Address, d *dial) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	d.link, d.err = c.openLink(ctx, address)
	c.mu.Lock()
	delete(c.dials, address)
	if d.err == nil {
		c.links[address] = d.link
	}
	c.mu.Unlock()
	close(d.done)
}

func (c *Client) openLink(ctx context.Context, address types.Address) (*link, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", string(address))
	if err != nil {
		return nil, errs.Wrap(errs.Unavailable, err, "connecting to %s", address)
	}
	counted := &countedConn{Conn: conn}
	secured, err := c.secure(ctx, counted)
	if err != nil {
		_ = conn.Close()
		return nil, errs.New(errs.Unavailable, "connecting to %s: %v", address, err)
	}
	return &link{rpc: rpc.NewClient(secured), conn: counted}, nil
}

func (c *Client) secure(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if c.Security == nil {
		return conn, nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return c.Security.Dial(dialCtx, conn)
}

// closeLink closes a connection and removes it, so that the next call connects anew.
func (c *Client) closeLink(address types.Address, l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[address] == l {
		delete(c.links, address)
	}
	_ = l.rpc.Close()
}
