package settings

import (
	"cmp"
	"fmt"
	"net"
	"strconv"
)

// Errors gathers the faults of a program's settings.
type Errors []error

// Add records a fault of a setting.
func (f *Errors) Add(setting, format string, args ...any) {
	*f = append(*f, fmt.Errorf("--%s: %s", setting, fmt.Sprintf(format, args...)))
}

// CheckRequired records a fault when a text setting is empty.
func (f *Errors) CheckRequired(setting, value string) {
	if value == "" {
		f.Add(setting, "is empty; set it")
	}
}

// CheckAddress records a fault unless value is an IP number or host with a port.
func (f *Errors) CheckAddress(setting, value string) {
	_, port, err := net.SplitHostPort(value)
	if err != nil {
		f.Add(setting, "%q is not ADDRESS:PORT", value)
		return
	}
	if number, err := strconv.Atoi(port); err != nil || number < 0 || number > 65535 {
		f.Add(setting, "port %q is not between 0 and 65535", port)
	}
}

// CheckAddresses records a fault for each malformed address, and one when there is none.
func (f *Errors) CheckAddresses(setting string, values []string) {
	if len(values) == 0 {
		f.Add(setting, "names no address; give at least one")
	}
	for _, value := range values {
		f.CheckAddress(setting, value)
	}
}

// CheckRange records a fault unless low <= value <= high.
func CheckRange[T cmp.Ordered](f *Errors, setting string, value, low, high T) {
	if value < low || value > high {
		f.Add(setting, "%v is not between %v and %v", value, low, high)
	}
}

// CheckOneOf records a fault unless value is one of the choices.
func (f *Errors) CheckOneOf(setting, value string, choices ...string) {
	for _, choice := range choices {
		if value == choice {
			return
		}
	}
	f.Add(setting, "%q is not one of %v", value, choices)
}
