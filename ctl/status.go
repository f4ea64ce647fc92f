package ctl

import (
	"fmt"
	"strings"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/wire"
	"github.com/jessevdk/go-flags"
)

// compareNames orders objects by name for a sort.
func compareNames(x, y string) int { return strings.Compare(x, y) }

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}

// servedText names the service or the models that an endpoint serves.
func servedText(g *wire.GateReport) string {
	if g.Service != "" {
		return "service " + g.Service
	}
	return strings.Join(g.Models, ",")
}

func (a *app) showStatus() error {
	status, err := a.readStatus()
	if err != nil {
		return err
	}
	if a.options.Output == "json" {
		return a.printJSON(status)
	}
	leader := status.LeaderId
	if leader == "" {
		leader = "none"
	}
	fmt.Fprintf(a.out, "leader %s at %s, term %d, commit %d, revision %d, log from %d, snapshot at %d\n\n",
		leader, status.LeaderAddress, status.Term, status.Commit, status.Revision, status.FirstLogIndex, status.SnapshotIndex)
	members := newTable(a.out, "REPLICA", "ADDRESS", "STATE")
	for _, m := range status.Members {
		members.row(m.Id, m.Address, memberText(m))
	}
	if err := members.flush(); err != nil {
		return err
	}
	fmt.Fprintln(a.out)
	if err := a.showProcesses(status); err != nil {
		return err
	}
	fmt.Fprintln(a.out)
	gates := newTable(a.out, "ENDPOINT", "DATA CENTRE", "READY", "COLD", "LEAVING", "REVISION", "RUNNING", "LIMIT")
	for _, g := range status.Gates {
		gates.row(g.Endpoint, g.DataCentre, yesNo(g.Ready), yesNo(g.Cold), yesNo(g.Leaving), g.Revision, g.Load.GetGateRunning(), g.AdmitLimit)
	}
	return gates.flush()
}

func (a *app) showProcesses(status *wire.StatusResponse) error {
	t := newTable(a.out, "PROCESS", "ROLE", "DATA CENTRE", "REVISION", "BEHIND", "SEEN")
	for _, p := range status.Processes {
		behind := uint64(0)
		if p.Info.Revision < status.Revision {
			behind = status.Revision - p.Info.Revision
		}
		seen := (time.Duration(p.SeenMsAgo) * time.Millisecond).Round(100 * time.Millisecond)
		t.row(p.Info.Id, p.Info.Role, p.Info.DataCentre, p.Info.Revision, behind, seen.String()+" ago")
	}
	return t.flush()
}

func (a *app) registerWatch(parent *flags.Command) {
	watch := &struct {
		Interval time.Duration `long:"interval" default:"1s" description:"Pause between two reads of the configuration"`
		Count    int           `long:"count" description:"Number of reads after which the command ends; 0, the default, for no limit"`
		command
	}{}
	watch.command = func() error { return a.watch(watch.Interval, watch.Count) }
	addCommand(parent, "watch", "Print each change of the configuration and of the leader as it occurs", watch)
}

// watch prints configuration changes and changes of leader. While control is
// unavailable it prints the error once and polls on.
func (a *app) watch(interval time.Duration, count int) error {
	var lastPrinted uint64
	leader, lastError := "", ""
	for poll := 0; count == 0 || poll < count; poll++ {
		if poll > 0 {
			time.Sleep(interval)
		}
		history, err := a.history("", watchedDeltas)
		if err != nil {
			if retryable(err) {
				lastError = a.printIfNew(lastError, err.Error())
				continue
			}
			return err
		}
		lastError = ""
		lastPrinted = a.printUpdates(history.Deltas, lastPrinted)
		status, err := a.readStatus()
		if err == nil && status.LeaderId != leader {
			leader = status.LeaderId
			fmt.Fprintf(a.out, "term %d: replica %s leads at %s\n", status.Term, leader, status.LeaderAddress)
		}
	}
	return nil
}

// printIfNew prints an error unless it is the one printed before.
func (a *app) printIfNew(before, text string) string {
	if text != before {
		fmt.Fprintln(a.errOut, text)
	}
	return text
}

// printUpdates prints the changes with a revision above lastPrinted and returns
// the highest revision among them, or lastPrinted if there is none.
func (a *app) printUpdates(deltas []*wire.ConfigDelta, lastPrinted uint64) uint64 {
	for _, delta := range deltas {
		if delta.Revision <= lastPrinted {
			continue
		}
		lastPrinted = delta.Revision
		for _, item := range deltaText(delta) {
			fmt.Fprintf(a.out, "revision %d: %s\n", delta.Revision, item)
		}
	}
	return lastPrinted
}
