package controlplane

import (
	"errors"
	"strings"
	"testing"

	"github.com/apricotspoke/apricotspoke/protocol/monotonic"
	"github.com/apricotspoke/apricotspoke/telemetry/metrics"
)

func TestMetricsRecordWhetherQuorumConfirmed(t *testing.T) {
	registry := metrics.New()
	s := New(Options{Metrics: registry})
	s.recordConfirmation(monotonic.Now(), nil)
	s.recordConfirmation(monotonic.Now(), errors.New("no leader"))
	s.recordConfirmation(monotonic.Now(), errors.New("no leader"))
	var text strings.Builder
	registry.WriteText(&text)
	for _, line := range []string{
		`control_quorum_ms{organisation="",class="confirmed",of="count"} 1`,
		`control_quorum_ms{organisation="",class="no_quorum",of="count"} 2`,
	} {
		if !strings.Contains(text.String(), line+"\n") {
			t.Errorf("no %s in\n%s", line, text.String())
		}
	}
}
