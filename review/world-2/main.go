// Command world2 plays the cases of the review that are scripts: it is a stand-in of the platform (its store, its runners, its
// clients and its operator) on loopback, and starts the daemons as separate processes, with the command of the deploy file.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld    = 0
	exitBroken  = 1
	exitCantRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: world2 runner FLAGS | world2 case NAME RECORD")
		os.Exit(exitCantRun)
	}
	switch os.Args[1] {
	case "runner":
		if err := runRunner(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitCantRun)
		}
	case "case":
		os.Exit(play(os.Args[2], os.Args[3]))
	}
}

// play plays a case and returns the exit code.
func play(name, record string) (code int) {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitCantRun
	}
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCantRun
	}
	defer w.close()
	defer func() {
		if failure := recover(); failure != nil {
			w.note("could not run: %v", failure)
			code = exitCantRun
		}
	}()
	w.trouble = os.Getenv("TROUBLE") != "0"
	w.note("case %s, disruption %v", name, w.trouble)
	if broken := c(w); broken != "" {
		w.note("RULE BROKEN: %s", broken)
		return exitBroken
	}
	w.note("the rule held")
	return exitHeld
}
