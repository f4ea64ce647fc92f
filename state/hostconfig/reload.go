package hostconfig

import (
	"reflect"
	"sync/atomic"
)

// Reloadable holds the settings that a process goes by. A reload swaps them whole.
type Reloadable struct {
	process atomic.Pointer[Process]
}

// NewReloadable begins with the settings of the start.
func NewReloadable(p *Process) *Reloadable {
	f := &Reloadable{}
	f.process.Store(p)
	return f
}

// Get returns the settings in force, which are not to be changed.
func (f *Reloadable) Get() *Process { return f.process.Load() }

// Reload puts into force what may change while the process runs: seeds, memory
// and bounds. It names these changes, and those that wait for a restart.
func (f *Reloadable) Reload(next *Process) (taken, waiting []string) {
	before := *f.Get()
	now := before
	now.Seeds, now.MemoryBytes, now.Bounds = next.Seeds, next.MemoryBytes, next.Bounds
	f.process.Store(&now)
	wanted := *next
	wanted.MetricsPort = before.MetricsPort // of the command line, not the file
	return differing(&before, &now), differing(&now, &wanted)
}

// differing names the settings in which two processes differ.
func differing(a, b *Process) []string {
	var names []string
	x, y := reflect.ValueOf(*a), reflect.ValueOf(*b)
	for i := range x.NumField() {
		if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			names = append(names, x.Type().Field(i).Name)
		}
	}
	return names
}
