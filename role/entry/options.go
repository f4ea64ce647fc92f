// Package entry wires the entry role, which forwards callers' HTTP requests to gates
// and relays the answers.
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
	Listen       string        `long:"listen" env:"APRICOTSPOKE_LISTEN" description:"gRPC address for the other processes of the fleet"`
	HTTPListen   string        `long:"http-listen" env:"APRICOTSPOKE_HTTP_LISTEN" description:"HTTP address for callers"`
	Control      []string      `long:"control" env:"APRICOTSPOKE_CONTROL" env-delim:"," description:"gRPC address of a control replica; repeat for each"`
	LogLevel     string        `long:"log-level" env:"APRICOTSPOKE_LOG_LEVEL" default:"info" description:"lowest level that is logged: debug, info, warn or error"`
	Policy       string        `long:"policy" env:"APRICOTSPOKE_POLICY" default:"adaptive" description:"routing policy"`
	ResumeSecret string        `long:"resume-secret" env:"APRICOTSPOKE_RESUME_SECRET" secret:"true" description:"secret that signs resume tokens, the same for all entries"`
	DrainLimit   time.Duration `long:"drain-limit" env:"APRICOTSPOKE_DRAIN_LIMIT" default:"10m" description:"longest wait for running requests at shutdown"`
	ReadyWait    time.Duration `long:"ready-wait" env:"APRICOTSPOKE_READY_WAIT" default:"1500ms" description:"time after the start before this entry is ready, in which gates connect to it"`
	ReadyGrace   time.Duration `long:"ready-grace" env:"APRICOTSPOKE_READY_GRACE" default:"1s" description:"time at shutdown between failing readiness and waiting for the running requests"`

	// Links holds the TLS settings of the connections to other processes.
	Links link.Options `group:"Links"`

	// ControlRole is the control role, which the entry hosts if its data folder is set.
	ControlRole control.Options `group:"Control role"`
}

// Check returns all errors in the settings. It implements settings.Checker.
func (o *Options) Check() []error {
	o.Control = settings.SplitList(o.Control)
	var errs settings.Errors
	errs.CheckRequired("id", o.ID)
	errs.CheckRequired("data-centre", o.DataCentre)
	errs.CheckRequired("resume-secret", o.ResumeSecret)
	errs.CheckAddress("listen", o.Listen)
	errs.CheckAddress("http-listen", o.HTTPListen)
	errs.CheckAddresses("control", o.Control)
	errs.CheckOneOf("policy", o.Policy, routing.PolicyNames...)
	if err := logs.CheckLevel(o.LogLevel); err != nil {
		errs = append(errs, err)
	}
	settings.CheckRange(&errs, "drain-limit", o.DrainLimit, time.Second, maxDrainLimit)
	settings.CheckRange(&errs, "ready-grace", o.ReadyGrace, 0, o.DrainLimit)
	errs = append(errs, o.Links.Check()...)
	return append(errs, o.ControlRole.Check()...)
}
