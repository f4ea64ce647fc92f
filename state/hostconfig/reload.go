package hostconfig

import (
	"reflect"
	"sync/atomic"
)

// Reloadable holds the settings in force. A reload replaces them as a whole.
type Reloadable struct {
	process atomic.Pointer[Process]
}

// NewReloadable returns a holder of the settings with which the process starts.
func NewReloadable(p *Process) *Reloadable {
	r := &Reloadable{}
	r.process.Store(p)
	return r
}

// Get returns the settings in force. The caller must not modify them.
func (r *Reloadable) Get() *Process { return r.process.Load() }

// Reload applies the settings that may change while the process runs: the seeds, the
// memory limit, the limit of descriptors and the bounds. It returns the names of the fields
// that changed and of those that change with a restart only.
func (r *Reloadable) Reload(next *Process) (applied, afterRestart []string) {
	before := *r.Get()
	now := before
	now.Seeds, now.MemoryBytes, now.MaxDescriptors, now.Bounds = next.Seeds, next.MemoryBytes, next.MaxDescriptors, next.Bounds
	r.process.Store(&now)
	wanted := *next
	wanted.MetricsPort = before.MetricsPort // set on the command line, not in the file
	return differingFields(&before, &now), differingFields(&now, &wanted)
}

// differingFields returns the names of the fields in which two settings differ.
func differingFields(a, b *Process) []string {
	var names []string
	x, y := reflect.ValueOf(*a), reflect.ValueOf(*b)
	for i := range x.NumField() {
		if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			names = append(names, x.Type().Field(i).Name)
		}
	}
	return names
}
