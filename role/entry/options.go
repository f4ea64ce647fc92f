// Package entry wires the entry role: from the caller's HTTP request to a gate
// and back.
package entry

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/routing"
)

// Options are the settings of an entry.
type Options struct {
	ID           string        `long:"id" env:"APRICOTSPOKE_ID" description:"name of this process"`
	DataCentre   string        `long:"data-centre" env:"APRICOTSPOKE_DATA_CENTRE" description:"data centre of this process"`
	Listen       string        `long:"listen" env:"APRICOTSPOKE_LISTEN" description:"gRPC address for the fleet"`
	HTTPListen   string        `long:"http-listen" env:"APRICOTSPOKE_HTTP_LISTEN" description:"HTTP address for callers"`
	Control      []string      `long:"control" env:"APRICOTSPOKE_CONTROL" env-delim:"," description:"gRPC address of a control replica"`
	DataFolder   string        `long:"data-folder" env:"APRICOTSPOKE_DATA_FOLDER" description:"run control too, with its state here"`
	LogLevel     string        `long:"log-level" env:"APRICOTSPOKE_LOG_LEVEL" default:"info" description:"least level of log lines"`
	Policy       string        `long:"policy" env:"APRICOTSPOKE_POLICY" default:"adaptive" description:"routing policy"`
	ResumeSecret string        `long:"resume-secret" env:"APRICOTSPOKE_RESUME_SECRET" description:"secret of the fleet that signs resume tokens"`
	DrainLimit   time.Duration `long:"drain-limit" env:"APRICOTSPOKE_DRAIN_LIMIT" default:"10m" description:"longest wait for running requests at shutdown"`
	ReadyGrace   time.Duration `long:"ready-grace" env:"APRICOTSPOKE_READY_GRACE" default:"1s" description:"time between failing readiness and closing the listener"`
}

// Check implements settings.Checker.
func (o *Options) Check() []error {
	var faults []error
	required := []struct{ flag, value string }{
		{"id", o.ID}, {"data-centre", o.DataCentre}, {"listen", o.Listen}, {"http-listen", o.HTTPListen}, {"resume-secret", o.ResumeSecret},
	}
	for _, r := range required {
		if r.value == "" {
			faults = append(faults, fmt.Errorf("--%s is missing", r.flag))
		}
	}
	if len(o.Control) == 0 {
		faults = append(faults, errors.New("--control is missing"))
	}
	if !slices.Contains(routing.PolicyNames, o.Policy) {
		faults = append(faults, fmt.Errorf("--policy %q is unknown: use one of %v", o.Policy, routing.PolicyNames))
	}
	if o.DrainLimit <= 0 {
		faults = append(faults, errors.New("--drain-limit must be positive"))
	}
	return faults
}
