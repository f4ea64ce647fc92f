// Package entry wires the entry role: from the caller's HTTP request to a gate
// and back.
package entry

import (
	"time"

	"github.com/apricotspoke/apricotspoke/coordination/routing"
	"github.com/apricotspoke/apricotspoke/role/control"
	"github.com/apricotspoke/apricotspoke/settings"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"github.com/apricotspoke/apricotspoke/transport/link"
)

const maxDrainLimit = 24 * time.Hour

// Options are the settings of an entry.
type Options struct {
	ID           string        `long:"id" env:"APRICOTSPOKE_ID" description:"name of this process"`
	DataCentre   string        `long:"data-centre" env:"APRICOTSPOKE_DATA_CENTRE" description:"data centre of this process"`
	Listen       string        `long:"listen" env:"APRICOTSPOKE_LISTEN" description:"gRPC address for the fleet"`
	HTTPListen   string        `long:"http-listen" env:"APRICOTSPOKE_HTTP_LISTEN" description:"HTTP address for callers"`
	Control      []string      `long:"control" env:"APRICOTSPOKE_CONTROL" env-delim:"," description:"gRPC address of a control replica"`
	LogLevel     string        `long:"log-level" env:"APRICOTSPOKE_LOG_LEVEL" default:"info" description:"least level of log lines"`
	Policy       string        `long:"policy" env:"APRICOTSPOKE_POLICY" default:"adaptive" description:"routing policy"`
	ResumeSecret string        `long:"resume-secret" env:"APRICOTSPOKE_RESUME_SECRET" secret:"true" description:"secret of the fleet that signs resume tokens"`
	DrainLimit   time.Duration `long:"drain-limit" env:"APRICOTSPOKE_DRAIN_LIMIT" default:"10m" description:"longest wait for running requests at shutdown"`
	ReadyWait    time.Duration `long:"ready-wait" env:"APRICOTSPOKE_READY_WAIT" default:"1500ms" description:"time after the start in which gates find this entry and it is not yet ready"`
	ReadyGrace   time.Duration `long:"ready-grace" env:"APRICOTSPOKE_READY_GRACE" default:"1s" description:"time between failing readiness and closing the listener"`

	// Links secures the connections to the other processes.
	Links link.Options `group:"Links"`

	// ControlRole is hosted when its data folder is set.
	ControlRole control.Options `group:"Control role"`
}

// Check implements settings.Checker.
func (o *Options) Check() []error {
	o.Control = settings.SplitList(o.Control)
	var faults settings.Errors
	faults.CheckRequired("id", o.ID)
	faults.CheckRequired("data-centre", o.DataCentre)
	faults.CheckRequired("resume-secret", o.ResumeSecret)
	faults.CheckAddress("listen", o.Listen)
	faults.CheckAddress("http-listen", o.HTTPListen)
	faults.CheckAddresses("control", o.Control)
	faults.CheckOneOf("policy", o.Policy, routing.PolicyNames...)
	if err := logs.CheckLevel(o.LogLevel); err != nil {
		faults = append(faults, err)
	}
	settings.CheckRange(&faults, "drain-limit", o.DrainLimit, time.Second, maxDrainLimit)
	settings.CheckRange(&faults, "ready-grace", o.ReadyGrace, 0, o.DrainLimit)
	faults = append(faults, o.Links.Check()...)
	return append(faults, o.ControlRole.Check()...)
}
