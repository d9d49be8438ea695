package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// maxTime bounds the time of a case.
const maxTime = 110 * time.Second

// cases are the cases by number. Each returns its exit status.
var cases = map[string]func(w *world, folder string) (int, error){
	"6": drainCase,
	"7": frozenHostCase,
	"9": calmHostCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2-world CASE RECORD")
		os.Exit(notRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run runs the case and writes its record to the path. TROUBLE=0 in the environment leaves
// the disruption out.
func run(number, path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer file.Close()
	folder, err := os.MkdirTemp("", "review-case")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer os.RemoveAll(folder)
	w := &world{ip: "127.0.0.1", record: &record{begin: time.Now(), file: file}, trouble: os.Getenv("TROUBLE") != "0"}
	defer w.stopFronts()
	if w.store, err = newStore(w.ip); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	type result struct {
		status int
		err    error
	}
	ended := make(chan result, 1)
	go func() {
		status, err := cases[number](w, folder)
		ended <- result{status, err}
	}()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	select {
	case got := <-ended:
		if got.err != nil {
			w.record.add("the case couldn't run: %v", got.err)
			fmt.Fprintln(os.Stderr, got.err)
			return notRun
		}
		return got.status
	case <-interrupts:
		return notRun
	case <-time.After(maxTime):
		w.record.add("the case took too long")
		return notRun
	}
}
