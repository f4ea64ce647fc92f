// Command second plays the scripted cases of the second review: it is the platform, the
// operator, the clients and the replicas around the programs under test. It exits with 1 if
// the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// onInterrupt has a clean-up done if this program is told to end in the middle of a case.
func onInterrupt(cleanUp func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGPIPE, os.Interrupt)
	go func() {
		<-signals
		cleanUp()
		os.Exit(2)
	}()
}

func main() {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	variant := flag.String("variant", "", "a variant of the case, for comparison")
	listen := flag.String("replica", "", "play a replica that listens at this address")
	id := flag.String("id", "", "the id of the replica")
	zone := flag.String("zone", "", "the zone of the replica")
	controls := flag.String("controls", "", "the addresses that the replica announces itself to")
	arrivals := flag.String("arrivals", "", "file for the times of the requests that the replica gets")
	crashes := flag.Bool("crashes", false, "the replica crashes if it gets too many requests while it is cold")
	always := flag.Bool("always-late", false, "all heartbeats of the replica arrive late")
	late := flag.Duration("late", 0, "how late the first heartbeats of the replica arrive")
	flag.Parse()
	if *listen != "" {
		var err error
		if *arrivals != "" {
			err = runColdReplica(*listen, *id, *zone, *controls, *arrivals, *late, *crashes, *always)
		} else {
			err = runUnframedReplica(*listen, *id, *zone, *controls)
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := play(r, *name, *variant, *trouble)
	switch {
	case err != nil:
		r.note("check", "the case couldn't run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		r.note("check", "the rule is BROKEN")
		fmt.Println("broken")
		os.Exit(1)
	}
	r.note("check", "the rule held")
	fmt.Println("held")
}

func play(r *record, name, variant string, trouble bool) (broken bool, err error) {
	switch name {
	case "quorum":
		v := quorumVariant{replace: trouble, loseDisk: trouble, wait: time.Second}
		switch variant {
		case "only-replace":
			v.loseDisk = false
		case "only-disk":
			v.replace = false
		case "later":
			v.wait = 8 * time.Second
		}
		return lostQuorum(r, v)
	case "unframed":
		return crashUnderStreams(r, trouble)
	case "cold":
		late := 3 * time.Second
		switch {
		case variant == "prompt":
			late = 0
		case variant == "returned" && trouble:
			return takeBackCold(r, 2*time.Second)
		case variant == "returned":
			return takeBackCold(r, 0)
		}
		return restartCold(r, trouble, late)
	case "target":
		return changedTarget(r, trouble)
	case "leave":
		late := 3 * time.Second
		if variant == "prompt" {
			late = 0
		}
		return leaveAfterRestart(r, trouble, late)
	}
	return false, fmt.Errorf("no case %q", name)
}
