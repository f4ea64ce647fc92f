package settings

import (
	"cmp"
	"fmt"
	"net"
	"strconv"
)

// Errors collects the errors found in a program's settings.
type Errors []error

// Add records an error of a setting, which is given by its flag name without dashes.
func (e *Errors) Add(setting, format string, args ...any) {
	*e = append(*e, fmt.Errorf("--%s: %s", setting, fmt.Sprintf(format, args...)))
}

// CheckRequired records an error if the value is empty.
func (e *Errors) CheckRequired(setting, value string) {
	if value == "" {
		e.Add(setting, "is empty; set it")
	}
}

// CheckAddress records an error unless value is an IP address or host name with a port.
func (e *Errors) CheckAddress(setting, value string) {
	_, port, err := net.SplitHostPort(value)
	if err != nil {
		e.Add(setting, "%q is not ADDRESS:PORT", value)
		return
	}
	if number, err := strconv.Atoi(port); err != nil || number < 0 || number > 65535 {
		e.Add(setting, "port %q is not between 0 and 65535", port)
	}
}

// CheckAddresses records an error for each malformed address, and one if the list is empty.
func (e *Errors) CheckAddresses(setting string, values []string) {
	if len(values) == 0 {
		e.Add(setting, "no address is given; give at least one")
	}
	for _, value := range values {
		e.CheckAddress(setting, value)
	}
}

// CheckRange records an error unless low <= value <= high.
func CheckRange[T cmp.Ordered](e *Errors, setting string, value, low, high T) {
	if value < low || value > high {
		e.Add(setting, "%v is not between %v and %v", value, low, high)
	}
}

// CheckOneOf records an error unless value is one of the choices.
func (e *Errors) CheckOneOf(setting, value string, choices ...string) {
	for _, choice := range choices {
		if value == choice {
			return
		}
	}
	e.Add(setting, "%q is not one of %v", value, choices)
}
