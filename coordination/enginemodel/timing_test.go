package enginemodel

import (
	"math"
	"testing"

	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

func engine() *catalogue.Engine {
	return &catalogue.Engine{
		Slots: 16, MemoryTokens: 400_000, StepsPerPass: 34, StepMs: 1.3, StepPerSequenceMs: 0.001,
		StepPerContextMs: 0.002, PrefillTokensPerMs: 150, AttentionMsPerMillionPairs: 0.16, ChunkTokens: 2048,
	}
}

func assertClose(t *testing.T, name string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 0.01*math.Abs(want)+1e-9 {
		t.Errorf("%s: got %.3f, want %.3f", name, got, want)
	}
}

func TestPrefillMs(t *testing.T) {
	assertClose(t, "short", PrefillMs(engine(), 3000, 1), 20+0.16*4.5)
	assertClose(t, "in four parts", PrefillMs(engine(), 3000, 4), (20+0.16*4.5)/4)
	assertClose(t, "nothing", PrefillMs(engine(), 0, 1), 0)
}
