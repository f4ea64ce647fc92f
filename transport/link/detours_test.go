package link

import "testing"

func TestParseDetours(t *testing.T) {
	got := parseDetours("127.0.0.1:1=127.0.0.1:2, a:1=b:2,,broken")
	if len(got) != 2 || got["127.0.0.1:1"] != "127.0.0.1:2" || got["a:1"] != "b:2" {
		t.Errorf("got %v", got)
	}
}
