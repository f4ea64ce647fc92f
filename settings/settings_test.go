package settings

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

type options struct {
	Listen string        `long:"listen" env:"APRICOTSPOKE_TEST_LISTEN" default:"127.0.0.1:1" description:"Address"`
	Limit  time.Duration `long:"limit" default:"1s" description:"Limit"`
	Secret string        `long:"resume-secret" env:"APRICOTSPOKE_TEST_SECRET" secret:"true" description:"Secret"`
}

func (o *options) Check() []error {
	var errs Errors
	errs.CheckAddress("listen", o.Listen)
	CheckRange(&errs, "limit", o.Limit, time.Second, time.Minute)
	return errs
}

func TestAllErrorsAreReportedAtOnce(t *testing.T) {
	var out, err bytes.Buffer
	got := parse("program", &options{}, []string{"--listen=nowhere", "--limit=1h"}, &out, &err)
	if !got.exit || got.status != exitInvalidSettings {
		t.Fatalf("outcome %+v, want an exit with status %d", got, exitInvalidSettings)
	}
	for _, part := range []string{"--listen", "--limit", "between 1s and 1m0s"} {
		if !strings.Contains(err.String(), part) {
			t.Errorf("missing %q in %q", part, err.String())
		}
	}
}

func TestPrintShowsSourcesAndHidesSecrets(t *testing.T) {
	t.Setenv("APRICOTSPOKE_TEST_SECRET", "tell-nobody")
	var out, err bytes.Buffer
	parse("program", &options{}, []string{"--print-settings", "--limit=2s"}, &out, &err)
	text := out.String()
	if strings.Contains(text, "tell-nobody") {
		t.Errorf("secret printed: %s", text)
	}
	for _, line := range []string{"flag", "default", "environment APRICOTSPOKE_TEST_SECRET", "(hidden)"} {
		if !strings.Contains(text, line) {
			t.Errorf("missing %q in\n%s", line, text)
		}
	}
}

func TestCheckExitsWithoutRunning(t *testing.T) {
	var out, err bytes.Buffer
	if got := parse("program", &options{}, []string{"--check"}, &out, &err); !got.exit || got.status != exitOK {
		t.Fatalf("outcome %+v, want an exit with status 0; %s", got, err.String())
	}
}
