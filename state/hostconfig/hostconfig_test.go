package hostconfig

import (
	"slices"
	"strings"
	"testing"
	"time"
)

func process() Process {
	return Process{
		Name: "a", IP: "10.0.0.1", CallerAddress: "10.0.0.1:80", FirstLinkPort: 7000, LastLinkPort: 7001,
		Seeds: []string{"10.0.0.1:90"}, MetricsPort: 9100, MemoryBytes: 1 << 28,
		Bounds: Bounds{StopWithin: 8 * time.Second, RevokedWithin: 5 * time.Second},
	}
}

func TestCheckReportsAllProblems(t *testing.T) {
	good := process()
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	bad := process()
	bad.Name, bad.IP, bad.CallerAddress, bad.LastLinkPort, bad.MemoryBytes = "", "here", "80", 7000, -1
	bad.MaxDescriptors = -2
	bad.Bounds = Bounds{StopWithin: -1, RepeatRatio: -0.1, HostsLost: -1}
	err := bad.Check()
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	for _, word := range []string{"no name", `"here"`, `"80"`, "7000 to 7000", "memory", "-2 descriptors", "time", "repeats", "hosts"} {
		if !strings.Contains(err.Error(), word) {
			t.Errorf("%q is not mentioned: %v", word, err)
		}
	}
}

// Guards against a negative bound of reservations, with which none would be renewed.
func TestCheckReportsNegativeBoundsOfReservations(t *testing.T) {
	for _, b := range []Bounds{{ReservedUnusedFor: -1}, {ReleasedWithin: -1}} {
		p := process()
		p.Bounds = b
		if err := p.Check(); err == nil || !strings.Contains(err.Error(), "time") {
			t.Errorf("%+v: %v", b, err)
		}
	}
}

func TestReloadAppliesWhatMayChange(t *testing.T) {
	first := process()
	reloadable := NewReloadable(&first)
	next := process()
	next.Seeds, next.MemoryBytes, next.MaxDescriptors, next.IP, next.MetricsPort = []string{"10.0.0.2:90"}, 1<<27, 4100, "10.0.0.9", 0
	next.Bounds.RevokedWithin = 3 * time.Second
	applied, afterRestart := reloadable.Reload(&next)
	if !slices.Equal(applied, []string{"Seeds", "MemoryBytes", "MaxDescriptors", "Bounds"}) || !slices.Equal(afterRestart, []string{"IP"}) {
		t.Errorf("applied %v, after a restart %v", applied, afterRestart)
	}
	now := reloadable.Get()
	if now.IP != first.IP || now.MetricsPort != 9100 || now.MaxDescriptors != 4100 || now.Seeds[0] != "10.0.0.2:90" || now.Bounds.RevokedWithin != 3*time.Second {
		t.Errorf("in force: %+v", now)
	}
	if first.MemoryBytes != 1<<28 {
		t.Error("the settings that other goroutines may read were modified")
	}
}
