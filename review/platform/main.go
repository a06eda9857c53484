// Command platform runs the scripts of the review: it starts the project's programs
// as processes on loopback addresses, with stand-ins of the platform: servers, clients,
// the operator and the list of servers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a script.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// scripts are the scripts by name. Each returns whether its rule held.
var scripts = map[string]func(f *fleet, isTroubled bool) (bool, error){
	"crashing-request": crashingRequest,
	"removed-host":     removedHost,
	"replaced-host":    replacedHost,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand SCRIPT PROGRAM RECORD")
		return exitCannotRun
	}
	f, err := newFleet(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer f.end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		f.end()
		os.Exit(exitCannotRun)
	}()
	held, err := scripts[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		f.note("the script could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitCannotRun
	}
	if !held {
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
