// Command samphirelab runs stand-ins for the platform and for backend servers, the load
// tool, the fault injector and the checkers of histories.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	os.Exit(run())
}

// run executes the command line and returns the exit code of the process.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := newRoot().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "samphirelab:", err)
		return 1
	}
	return 0
}
