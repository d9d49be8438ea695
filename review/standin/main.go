// Command standin runs the cases of the review that are scripts. It starts ebony-front
// as separate processes and plays the store, the servers, the operator and the clients.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// record is the record of the case.
var record = &recorder{}

type recorder struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) logf(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.file != nil {
		_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
	}
}

// cantRun ends the process with the status of a case that couldn't run.
func cantRun(err error) {
	fmt.Fprintln(os.Stderr, "can't run:", err)
	record.logf("can't run: %v", err)
	stopFronts()
	os.Exit(2)
}

func must(err error) {
	if err != nil {
		cantRun(err)
	}
}

func main() {
	cases := map[string]func(trouble bool) bool{"first-start": firstStart, "restart": restart, "lost-answers": lostAnswers, "other-writer": otherWriter}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	must(err)
	record.file, record.start = file, time.Now()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { cantRun(fmt.Errorf("ended by signal %v", <-signals)) }()
	trouble := os.Getenv("TROUBLE") != "0"
	time.AfterFunc(110*time.Second, func() { cantRun(fmt.Errorf("the case takes too long")) })
	broken := cases[os.Args[1]](trouble)
	stopFronts()
	record.logf("rule broken: %v", broken)
	fmt.Println("rule broken:", broken)
	if broken {
		os.Exit(1)
	}
}
