package settings

import (
	"cmp"
	"fmt"
	"net"
	"strconv"
)

// Faults gathers the faults of a program's settings.
type Faults []error

// Add records a fault of a setting.
func (f *Faults) Add(setting, format string, args ...any) {
	*f = append(*f, fmt.Errorf("--%s: %s", setting, fmt.Sprintf(format, args...)))
}

// Required records a fault when a text setting is empty.
func (f *Faults) Required(setting, value string) {
	if value == "" {
		f.Add(setting, "is empty; set it")
	}
}

// Address records a fault unless value is an IP number or host with a port.
func (f *Faults) Address(setting, value string) {
	_, port, err := net.SplitHostPort(value)
	if err != nil {
		f.Add(setting, "%q is not ADDRESS:PORT", value)
		return
	}
	if number, err := strconv.Atoi(port); err != nil || number < 0 || number > 65535 {
		f.Add(setting, "port %q is not between 0 and 65535", port)
	}
}

// Addresses records a fault for each malformed address, and one when there is none.
func (f *Faults) Addresses(setting string, values []string) {
	if len(values) == 0 {
		f.Add(setting, "names no address; give at least one")
	}
	for _, value := range values {
		f.Address(setting, value)
	}
}

// Range records a fault unless low <= value <= high.
func Range[T cmp.Ordered](f *Faults, setting string, value, low, high T) {
	if value < low || value > high {
		f.Add(setting, "%v is not between %v and %v", value, low, high)
	}
}

// OneOf records a fault unless value is one of the choices.
func (f *Faults) OneOf(setting, value string, choices ...string) {
	for _, choice := range choices {
		if value == choice {
			return
		}
	}
	f.Add(setting, "%q is not one of %v", value, choices)
}
