package metrics

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestNumberOfSeriesIsBounded(t *testing.T) {
	r := New()
	for i := range 3 * maxOrganisations {
		r.ObserveDuration("m", Labels{fmt.Sprint("o", i), "4k"}, time.Duration(i)*time.Millisecond)
	}
	var text strings.Builder
	r.WriteText(&text)
	if n := strings.Count(text.String(), `of="count"`); n != maxOrganisations+1 {
		t.Errorf("%d series", n)
	}
	if want := fmt.Sprintf("m{organisation=\"other\",class=\"4k\",of=\"count\"} %d\n", 2*maxOrganisations); !strings.Contains(text.String(), want) {
		t.Error("the shared series does not hold the values of the other organisations")
	}
}
