//go:build review

// Command world runs one case of the review: stand-ins of the platform, its runners and its clients, with the daemons of the system
// as separate processes. It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(*world){"moved-queue": movedQueue, "advised-steps": advisedSteps, "dropped-policy": droppedPolicy, "stored-queue": storedQueue, "lost-together": lostTogether, "reborn": reborn, "flapping": flapping}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world CASE")
		os.Exit(2)
	}
	cases[os.Args[1]](newWorld())
}
