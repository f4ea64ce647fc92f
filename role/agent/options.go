package agent

import (
	"time"

	"github.com/apricotspoke/apricotspoke/role/control"
	"github.com/apricotspoke/apricotspoke/settings"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"github.com/apricotspoke/apricotspoke/transport/link"
)

const maxDrainLimit = 24 * time.Hour

// Options are the static settings of an agent.
type Options struct {
	ID             string        `long:"id" env:"APRICOTSPOKE_ID" description:"name of this process"`
	DataCentre     string        `long:"data-centre" env:"APRICOTSPOKE_DATA_CENTRE" description:"data centre of this host"`
	Listen         string        `long:"listen" env:"APRICOTSPOKE_LISTEN" description:"gRPC address for the other processes of the fleet"`
	AnnounceListen string        `long:"announce-listen" env:"APRICOTSPOKE_ANNOUNCE_LISTEN" description:"HTTP address where the endpoint beside this process announces itself"`
	Control        []string      `long:"control" env:"APRICOTSPOKE_CONTROL" env-delim:"," description:"gRPC address of a control replica; repeat for each"`
	Entries        []string      `long:"entries" env:"APRICOTSPOKE_ENTRIES" env-delim:"," description:"gRPC address of an entry; repeat for each"`
	HTTPListen     string        `long:"http-listen" env:"APRICOTSPOKE_HTTP_LISTEN" description:"HTTP address for metrics and health; not served if empty"`
	DrainLimit     time.Duration `long:"drain-limit" env:"APRICOTSPOKE_DRAIN_LIMIT" default:"10m" description:"longest wait for running attempts at shutdown"`
	LogLevel       string        `long:"log-level" env:"APRICOTSPOKE_LOG_LEVEL" default:"info" description:"lowest level that is logged: debug, info, warn or error"`
	Links          link.Options  `group:"Links"`
	control.Options
}

// Check returns all errors in the settings. It implements settings.Checker.
func (o *Options) Check() []error {
	o.Control, o.Entries = settings.SplitList(o.Control), settings.SplitList(o.Entries)
	var errs settings.Errors
	errs.CheckRequired("id", o.ID)
	errs.CheckRequired("data-centre", o.DataCentre)
	errs.CheckAddress("listen", o.Listen)
	errs.CheckAddress("announce-listen", o.AnnounceListen)
	errs.CheckAddresses("control", o.Control)
	for _, entry := range o.Entries {
		errs.CheckAddress("entries", entry)
	}
	if o.HTTPListen != "" {
		errs.CheckAddress("http-listen", o.HTTPListen)
	}
	if err := logs.CheckLevel(o.LogLevel); err != nil {
		errs = append(errs, err)
	}
	errs = append(errs, o.Links.Check()...)
	settings.CheckRange(&errs, "drain-limit", o.DrainLimit, time.Second, maxDrainLimit)
	return append(errs, o.Options.Check()...)
}
