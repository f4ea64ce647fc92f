// Command apricotspoke-fakeendpoint simulates a model engine or a plain service,
// for demonstrations and trials.
package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/apricotspoke/apricotspoke/settings"
	"github.com/apricotspoke/apricotspoke/telemetry/logs"
	"github.com/apricotspoke/apricotspoke/trials/fakeendpoint"
)

type options struct {
	Listen           string   `long:"listen" env:"APRICOTSPOKE_LISTEN" default:"127.0.0.1:0" description:"HTTP address"`
	AnnouncedAddress string   `long:"announced-address" env:"APRICOTSPOKE_ANNOUNCED_ADDRESS" description:"address announced to the agent, if it is not the one listened on"`
	Agent            string   `long:"agent" env:"APRICOTSPOKE_AGENT" description:"base URL of the agent's announce address"`
	Name             string   `long:"name" env:"APRICOTSPOKE_NAME" default:"endpoint" description:"name of the endpoint"`
	Models           []string `long:"model" env:"APRICOTSPOKE_MODEL" env-delim:"," description:"model served; may be repeated"`
	Service          string   `long:"service" env:"APRICOTSPOKE_SERVICE" description:"name of the plain service to simulate"`
	MemoryTokens     uint64   `long:"memory-tokens" env:"APRICOTSPOKE_MEMORY_TOKENS" default:"600000" description:"memory of the engine in tokens"`
	PrefillRate      float64  `long:"prefill-rate" env:"APRICOTSPOKE_PREFILL_RATE" default:"40000" description:"prefill in tokens per second"`
	DecodeMs         float64  `long:"decode-ms" env:"APRICOTSPOKE_DECODE_MS" default:"20" description:"milliseconds for each generated token"`
	ServiceMs        float64  `long:"service-ms" env:"APRICOTSPOKE_SERVICE_MS" default:"20" description:"milliseconds for each request to a plain service"`
	Concurrency      int      `long:"concurrency" env:"APRICOTSPOKE_CONCURRENCY" default:"32" description:"concurrent attempts when warm"`
	ColdConcurrency  int      `long:"cold-concurrency" env:"APRICOTSPOKE_COLD_CONCURRENCY" default:"2" description:"concurrent attempts after a start"`
	ChecksFencing    bool     `long:"checks-fencing" env:"APRICOTSPOKE_CHECKS_FENCING" description:"refuse orders that are not numbered above all earlier ones"`
	LoadLagMs        int      `long:"load-lag-ms" env:"APRICOTSPOKE_LOAD_LAG_MS" default:"200" description:"age of the load report in milliseconds"`
	WeightLoadMs     int      `long:"weight-load-ms" env:"APRICOTSPOKE_WEIGHT_LOAD_MS" default:"200" description:"milliseconds for each load from the weight store"`
	Seed             uint64   `long:"seed" env:"APRICOTSPOKE_SEED" default:"1" description:"seed of the random choices"`
}

// Check implements settings.Checker: it checks the choice of --model or --service,
// the concurrency and the prefill and decode rates, and returns every error found.
func (o *options) Check() []error {
	var errs []error
	if (len(o.Models) == 0) == (o.Service == "") {
		errs = append(errs, errors.New("give either --model or --service, not both"))
	}
	if o.ColdConcurrency < 1 || o.Concurrency < o.ColdConcurrency {
		errs = append(errs, errors.New("--cold-concurrency must be from 1 to --concurrency"))
	}
	if o.PrefillRate <= 0 || o.DecodeMs < 0 {
		errs = append(errs, errors.New("--prefill-rate must be above 0 and --decode-ms at least 0"))
	}
	return errs
}

func (o *options) config() fakeendpoint.Config {
	return fakeendpoint.Config{
		Name:                   o.Name,
		Agent:                  o.Agent,
		Models:                 o.Models,
		Service:                o.Service,
		MemoryTokens:           o.MemoryTokens,
		PrefillTokensPerSecond: o.PrefillRate,
		DecodePerToken:         milliseconds(o.DecodeMs),
		ServiceTime:            milliseconds(o.ServiceMs),
		Concurrency:            o.Concurrency,
		ColdConcurrency:        o.ColdConcurrency,
		ChecksFencing:          o.ChecksFencing,
		LoadLag:                milliseconds(float64(o.LoadLagMs)),
		WeightLoadTime:         milliseconds(float64(o.WeightLoadMs)),
		Seed:                   o.Seed,
	}
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

func main() {
	var o options
	settings.Parse("apricotspoke-fakeendpoint", &o)
	log := logs.For("fakeendpoint")
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		log.Error().Err(err).Msg("The listen address can't be used.")
		os.Exit(1)
	}
	address := o.AnnouncedAddress
	if address == "" {
		address = listener.Addr().String()
	}
	endpoint := fakeendpoint.New(o.config())
	go endpoint.Run(context.Background())
	if o.Agent != "" {
		go endpoint.Announce(context.Background(), address)
	}
	log.Info().Str("name", o.Name).Str("address", address).Msg("The endpoint is serving.")
	if err := http.Serve(listener, endpoint.Handler()); err != nil {
		log.Error().Err(err).Msg("The HTTP server has failed.")
		os.Exit(1)
	}
}
