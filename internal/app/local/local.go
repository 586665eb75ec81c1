// Package local runs the stand-ins of the platform, and daemons that use them, in one process on loopback addresses.
package local

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/vmlist"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/worker"
)

const (
	loopback          = "127.0.0.1:0"
	readHeaderTimeout = 5 * time.Second
	haltTimeout       = time.Minute
	workersPerRack    = 8
)

type (
	// Layout describes the platform that the stand-ins emulate.
	Layout struct {
		// StoreRegion is the region of the store and of the list of VMs.
		StoreRegion types.Region
		// StoreAddress and ListAddress are the addresses on which they listen; port 0 selects a free port.
		StoreAddress types.Address
		ListAddress  types.Address
		Sites        []SiteLayout
		// ListLag is the delay after which the list of VMs shows changes.
		ListLag time.Duration
		// CallTime is how long a runner works on a call.
		CallTime time.Duration
	}

	// SiteLayout describes the workers of one data centre: their number and the capacity of each.
	SiteLayout struct {
		Site        types.Site
		WorkerCount int
		Capacity    types.Resources
	}

	// Platform holds the stand-ins of one platform, which are served over HTTP on loopback.
	Platform struct {
		Store   *store.Memory
		VMs     *vmlist.Memory
		Workers map[types.VMID]*worker.Memory
		Runners *runner.Memory

		// StoreURL and ListURL are the base URLs of the store and of the list of VMs.
		StoreURL string
		ListURL  string
		layout   Layout
		clock    clockwork.Clock
		mu       sync.Mutex
		servers  []*http.Server
	}

	// launcher starts and stops the runners of one worker, one HTTP server for each attempt of a service task.
	launcher struct {
		platform *Platform
		vm       types.VM

		mu      sync.Mutex
		servers map[types.AttemptID]*http.Server
	}
)

// DefaultLayout returns a layout of three data centres in two regions, modelled on one of the users' deployments, with
// the given number of workers in each data centre.
func DefaultLayout(workers int) Layout {
	capacity := types.Resources{Cores: 64 * types.Core, Memory: 256 * types.GiB}
	site := func(region types.Region, name types.DataCentre) SiteLayout {
		return SiteLayout{Site: types.Site{Region: region, DataCentre: name}, WorkerCount: workers, Capacity: capacity}
	}
	return Layout{
		StoreRegion:  "tunis-north",
		StoreAddress: loopback,
		ListAddress:  loopback,
		ListLag:      2 * time.Second,
		CallTime:     20 * time.Millisecond,
		Sites: []SiteLayout{
			site("tunis-north", "carthage"),
			site("tunis-north", "ariana"),
			site("sahel-south", "sousse"),
		},
	}
}

// StartPlatform starts the stand-ins of a layout. Close stops them.
func StartPlatform(clock clockwork.Clock, layout Layout) (*Platform, error) {
	p := &Platform{
		Store:   store.NewMemory(clock, layout.StoreRegion),
		VMs:     vmlist.NewMemory(clock, layout.StoreRegion, layout.ListLag),
		Workers: make(map[types.VMID]*worker.Memory),
		Runners: runner.NewMemory(clock, layout.CallTime),
		layout:  layout,
		clock:   clock,
	}
	if err := p.start(layout); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

func (p *Platform) start(layout Layout) error {
	address, err := p.serve(layout.StoreAddress, p.Store.Handler())
	if err != nil {
		return err
	}
	p.StoreURL = "http://" + string(address)
	address, err = p.serve(layout.ListAddress, p.VMs.Handler())
	if err != nil {
		return err
	}
	p.ListURL = "http://" + string(address)
	for _, s := range layout.Sites {
		for i := range s.WorkerCount {
			if err := p.AddWorker(s, i); err != nil {
				return err
			}
		}
	}
	return nil
}

// AddWorker starts the stand-in of one worker and adds it to the list of VMs. The data centre and the index determine
// the worker's ID and rack.
func (p *Platform) AddWorker(s SiteLayout, index int) error {
	vm := types.VM{
		ID:       types.VMID(fmt.Sprintf("%s-w%02d", s.Site.DataCentre, index)),
		Role:     types.RoleWorker,
		State:    types.VMLive,
		Site:     s.Site,
		Capacity: s.Capacity,
	}
	vm.Site.Rack = types.Rack(fmt.Sprintf("%s-r%d", s.Site.DataCentre, index/workersPerRack))
	listener, err := listen(loopback)
	if err != nil {
		return err
	}
	vm.Address = types.Address(listener.Addr().String())
	l := &launcher{platform: p, vm: vm, servers: make(map[types.AttemptID]*http.Server)}
	w := worker.NewMemory(p.clock, vm, l)
	p.Workers[vm.ID] = w
	p.VMs.Set(vm)
	p.serveOn(listener, w.Handler())
	return nil
}

// AddEntry adds an entry VM to the list of VMs; peers is its address for other daemons.
func (p *Platform) AddEntry(id types.VMID, site types.Site, peers types.Address) {
	p.VMs.Set(types.VM{ID: id, Role: types.RoleEntry, State: types.VMLive, Site: site, Address: peers})
}

// Layout returns the layout that the platform was started with.
func (p *Platform) Layout() Layout {
	return p.layout
}

// Close stops all stand-ins at once, without waiting for calls in flight.
func (p *Platform) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		_ = s.Close()
	}
}

// serve serves the handler on an address and returns the address with the port in use.
func (p *Platform) serve(address types.Address, handler http.Handler) (types.Address, error) {
	listener, err := listen(address)
	if err != nil {
		return "", err
	}
	p.serveOn(listener, handler)
	return types.Address(listener.Addr().String()), nil
}

func (p *Platform) serveOn(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	p.mu.Lock()
	p.servers = append(p.servers, server)
	p.mu.Unlock()
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			_ = listener.Close()
		}
	}()
	return server
}

// Launch starts a runner for an attempt of a service task on a free port and returns its address.
func (l *launcher) Launch(attempt types.AttemptID, service types.Service) (types.Address, error) {
	listener, err := listen(loopback)
	if err != nil {
		return "", err
	}
	address := types.Address(listener.Addr().String())
	server := l.platform.serveOn(listener, l.platform.Runners.Handler(runner.Upstream{
		ID: types.RunnerID(attempt), Service: service.Name, VM: l.vm.ID, Site: l.vm.Site, Endpoint: address,
		Slots: service.Slots, Connections: service.Connections,
	}))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers[attempt] = server
	return address, nil
}

// Halt makes the runner reject new calls and shuts its server down in the background, which waits up to haltTimeout for
// the calls in flight to be answered.
func (l *launcher) Halt(attempt types.AttemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	server, ok := l.servers[attempt]
	if !ok {
		return
	}
	delete(l.servers, attempt)
	l.platform.Runners.SetBehaviour(types.RunnerID(attempt), runner.Refuse)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), haltTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	}()
}

func listen(address types.Address) (net.Listener, error) {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return nil, errs.New(errs.Unavailable, "listening on %s: %v", address, err)
	}
	return listener, nil
}
