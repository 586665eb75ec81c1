// Command magnoliawalk is a cluster scheduler for services, batch jobs and gang jobs: its daemons, its command-line
// tools, and its benchmarks.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/magnoliawalk/magnoliawalk/internal/app/cmds"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cmds.Run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
