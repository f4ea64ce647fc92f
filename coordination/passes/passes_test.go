package passes

import (
	"math"
	"testing"

	"github.com/apricotspoke/apricotspoke/state/catalogue"
)

func engine() *catalogue.Engine {
	return &catalogue.Engine{
		Slots: 16, MemoryTokens: 400_000, StepsPerPass: 34, StepMs: 1.3, StepPerWriterMs: 0.001,
		StepPerContextMs: 0.002, ReadTokensPerMs: 150, PairsMsPerMillion: 0.16, ChunkTokens: 2048,
	}
}

func near(t *testing.T, name string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 0.01*math.Abs(want)+1e-9 {
		t.Errorf("%s: got %.3f, want %.3f", name, got, want)
	}
}

func TestReadMs(t *testing.T) {
	near(t, "short", ReadMs(engine(), 3000, 1), 20+0.16*4.5)
	near(t, "in four parts", ReadMs(engine(), 3000, 4), (20+0.16*4.5)/4)
	near(t, "nothing", ReadMs(engine(), 0, 1), 0)
}

func TestPassMs(t *testing.T) {
	write := 34 * (1.3 + 2*0.001 + 10*0.002)
	near(t, "no reading", PassMs(engine(), 2, 10_000, Reading{}), write)
	near(t, "all read in one pass", PassMs(engine(), 2, 10_000, Reading{Ms: 100, Tokens: 15_000}), write+100)
	// Of 139,264 tokens one pass takes in 34 chunks of 2,048, the half.
	near(t, "half read in one pass", PassMs(engine(), 2, 10_000, Reading{Ms: 3000, Tokens: 139_264}), write+1500)
}

func TestFirstMs(t *testing.T) {
	write := WriteMs(engine(), 0, 0)
	near(t, "idle", FirstMs(engine(), 0, 0, Reading{}, Reading{Ms: 30, Tokens: 4000}), write+30)
	busy := WriteMs(engine(), 4, 20_000)
	near(t, "beside writers", FirstMs(engine(), 4, 20_000, Reading{Ms: 50, Tokens: 7000}, Reading{Ms: 30, Tokens: 4000}), 1.5*busy+80)
}
