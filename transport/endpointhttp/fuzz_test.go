package endpointhttp

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/net/http/httpguts"
)

// FuzzHead checks heads of any bytes: the verdict doesn't depend on the parts in which they
// arrive, and of what passes net/http's client makes no field whose name is no token.
func FuzzHead(f *testing.F) {
	for _, heads := range []map[string]string{brokenHeads, unusualHeads} {
		for _, text := range heads {
			f.Add(text+"\r\n", uint16(len(text)/2))
		}
	}
	f.Fuzz(func(t *testing.T, text string, cut uint16) {
		err := checkInParts(text, 0)
		if parts := checkInParts(text, int(cut)%(len(text)+1)); (parts == nil) != (err == nil) {
			t.Fatalf("in two parts: %v, in one: %v", parts, err)
		}
		response, readErr := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil || readErr != nil {
			return
		}
		for name := range response.Header {
			if !httpguts.ValidHeaderFieldName(name) {
				t.Errorf("a field with the name %q passes", name)
			}
		}
	})
}
