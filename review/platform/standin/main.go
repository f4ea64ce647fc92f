// Command standin plays the users' platform, the operator, clients and replicas around the
// project's own processes on loopback addresses, for the cases of the review. It exits
// with 1 if the rule of the case was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// A scenario runs one case and reports whether the rule was broken. With trouble unset it
// does the same without the disruption.
type scenario func(f *fleet, r *record, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"late-order":   lateOrder,
	"many-changes": manyChanges,
	"leave-lost":   leaveLost,
	"cold-return":  coldReturn,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO RECORD")
		os.Exit(2)
	}
	broken, err := play(scenarios[os.Args[1]], os.Args[2])
	switch {
	case err != nil:
		fmt.Println("the case couldn't run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

func play(s scenario, path string) (broken bool, err error) {
	r, err := newRecord(path)
	if err != nil {
		return false, err
	}
	defer r.file.Close()
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.stop()
	signal.Ignore(syscall.SIGPIPE) // a reader of the output that leaves must not keep the processes from being ended
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	go func() {
		<-signals
		f.stop()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err = s(f, r, trouble)
	r.say("trouble %v, rule broken %v, error %v", trouble, broken, err)
	return broken, err
}
