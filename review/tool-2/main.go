// Command review-2 plays the cases of this review's scripts: it starts the VM's program as
// separate processes on loopback addresses, with stand-ins of the platform, its runners and
// its clients in this process, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

var cases = map[string]func(trouble bool) (broken bool){}

var (
	startedAt = time.Now()
	recordMu  sync.Mutex
	record    *os.File
)

// note writes a line to the record.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	line := fmt.Sprintf("%6d ms  ", time.Since(startedAt).Milliseconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(record, line)
}

// say writes a line to the record and to standard output.
func say(format string, args ...any) {
	note(format, args...)
	fmt.Printf(format+"\n", args...)
}

func cannotRun(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	endVMs()
	os.Exit(exitCannotRun)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-2 CASE RECORD")
		os.Exit(exitCannotRun)
	}
	var err error
	if record, err = os.Create(os.Args[2]); err != nil {
		fmt.Println(err)
		os.Exit(exitCannotRun)
	}
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, os.Interrupt, syscall.SIGTERM)
	go func() { cannotRun("the case was stopped: %v", <-stops) }()
	time.AfterFunc(115*time.Second, func() { cannotRun("the case took too long") })
	broken := cases[os.Args[1]](os.Getenv("TROUBLE") != "0")
	endVMs()
	if broken {
		say("the rule was broken")
		os.Exit(exitBroken)
	}
	say("the rule held")
	os.Exit(exitHeld)
}
