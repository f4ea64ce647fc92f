package agent

import (
	"errors"
	"net"
	"slices"
	"time"
)

// Options are the static settings of an agent.
type Options struct {
	ID             string        `long:"id" env:"APRICOTSPOKE_ID" description:"name of this process" required:"true"`
	DataCentre     string        `long:"data-centre" env:"APRICOTSPOKE_DATA_CENTRE" description:"data centre of this host" required:"true"`
	Listen         string        `long:"listen" env:"APRICOTSPOKE_LISTEN" description:"gRPC address of the fleet" required:"true"`
	AnnounceListen string        `long:"announce-listen" env:"APRICOTSPOKE_ANNOUNCE_LISTEN" description:"HTTP address for the endpoint beside this process" required:"true"`
	Control        []string      `long:"control" env:"APRICOTSPOKE_CONTROL" env-delim:"," description:"gRPC address of a control replica, repeated"`
	Entries        []string      `long:"entries" env:"APRICOTSPOKE_ENTRIES" env-delim:"," description:"gRPC address of an entry, repeated"`
	HTTPListen     string        `long:"http-listen" env:"APRICOTSPOKE_HTTP_LISTEN" description:"HTTP address for metrics and health, none when empty"`
	DrainLimit     time.Duration `long:"drain-limit" env:"APRICOTSPOKE_DRAIN_LIMIT" default:"10m" description:"longest wait for running attempts at shutdown"`
	LogLevel       string        `long:"log-level" env:"APRICOTSPOKE_LOG_LEVEL" default:"info" description:"least level that is logged: debug, info, warn or error"`
}

// Check returns every fault of the settings.
func (o *Options) Check() []error {
	var faults []error
	for _, address := range []string{o.Listen, o.AnnounceListen} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			faults = append(faults, err)
		}
	}
	if len(o.Control) == 0 {
		faults = append(faults, errors.New("--control names no replica"))
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, o.LogLevel) {
		faults = append(faults, errors.New("--log-level is none of debug, info, warn and error"))
	}
	if o.DrainLimit < 0 {
		faults = append(faults, errors.New("--drain-limit is negative"))
	}
	return faults
}
