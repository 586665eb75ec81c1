package local

import (
	"context"
	_ "embed" // Embeds the sample document.
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

const (
	devWorkers        = 4
	devDrainTimeout   = 20 * time.Second
	readyTimeout      = 45 * time.Second
	readyPollInterval = 100 * time.Millisecond
)

//go:embed sample.yaml
var sample []byte

type (
	// Dev is a development cluster of three daemons in two data centres and two regions, with the sample document in
	// force.
	Dev struct {
		Cluster *Cluster
		// URLs are the base URLs of the daemons for callers and operators, in the order in which they were started.
		URLs []string
	}
)

// Sample returns a copy of the sample environment document.
func Sample() []byte {
	return append([]byte(nil), sample...)
}

// StartDev starts the development cluster and waits until the sample document is in force and its service runs (see
// WaitReady). The first daemon serves callers on the given address. On an error it closes the cluster.
func StartDev(ctx context.Context, callers types.Address, log zerolog.Logger) (*Dev, error) {
	cluster, err := StartCluster(ClusterConfig{
		Clock: clockwork.NewRealClock(), Log: log, Layout: DevLayout(devWorkers), DrainTimeout: devDrainTimeout,
		CallersAddress: callers,
	})
	if err != nil {
		return nil, err
	}
	dev := &Dev{Cluster: cluster}
	if err := dev.start(ctx); err != nil {
		_ = cluster.Close()
		return nil, err
	}
	return dev, nil
}

// DevLayout returns the layout of Dev: two data centres in two regions, with the given number of workers in each.
func DevLayout(workers int) Layout {
	layout := DefaultLayout(workers)
	layout.Sites = []SiteLayout{layout.Sites[0], layout.Sites[2]}
	return layout
}

func (d *Dev) start(ctx context.Context) error {
	sites := d.Cluster.Platform.Layout().Sites
	entries := []struct {
		id   types.VMID
		site types.Site
	}{
		{"entry-1", sites[0].Site},
		{"entry-2", sites[0].Site},
		{"entry-3", sites[1].Site},
	}
	for _, e := range entries {
		started, err := d.Cluster.StartEntry(e.id, e.site)
		if err != nil {
			return err
		}
		d.URLs = append(d.URLs, started.URL())
	}
	if _, err := d.Cluster.Put(ctx, sample); err != nil {
		return err
	}
	return d.Cluster.WaitReady(ctx, 1, readyTimeout)
}

// WaitReady waits until every daemon has at least the given revision in force and holds slots of some runner, and every
// data centre with a daemon has a leader that knows a runner. After the timeout it returns an error of kind Deadline
// that names a condition that is not met; when ctx ends, it returns one of kind Draining.
func (c *Cluster) WaitReady(ctx context.Context, revision types.Revision, timeout time.Duration) error {
	deadline := c.config.Clock.Now().Add(timeout)
	for reason := c.notReadyReason(revision); reason != ""; reason = c.notReadyReason(revision) {
		if c.config.Clock.Now().After(deadline) {
			return errs.New(errs.Deadline, "the cluster was not ready after %s: %s", timeout, reason)
		}
		select {
		case <-c.config.Clock.After(readyPollInterval):
		case <-ctx.Done():
			return errs.New(errs.Draining, "cancelled while waiting for the cluster to become ready")
		}
	}
	return nil
}

// notReadyReason returns a condition of WaitReady that is not met, or an empty string if the cluster is ready.
func (c *Cluster) notReadyReason(revision types.Revision) string {
	hasLeader := make(map[types.DataCentre]bool)
	for id, d := range c.Entries() {
		if d.Revision() < revision {
			return fmt.Sprintf("VM %s has only revision %d in force", id, d.Revision())
		}
		if d.Shares() == 0 {
			return fmt.Sprintf("VM %s holds no slots of any runner", id)
		}
		if _, leading := d.Leading(); leading && d.Runners() > 0 {
			hasLeader[d.Self().Site.DataCentre] = true
		}
	}
	for _, d := range c.Entries() {
		if site := d.Self().Site.DataCentre; !hasLeader[site] {
			return fmt.Sprintf("data centre %s has no leader that knows a runner", site)
		}
	}
	return ""
}
