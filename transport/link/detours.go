package link

import (
	"os"
	"strings"
	"sync"
)

// DetoursVariable is the environment variable that replaces addresses when links are
// opened, for use with address translation and in trials. Its value is a comma-separated
// list of pairs "to=via": a connection to the first address is opened to the second.
const DetoursVariable = "APRICOTSPOKE_DETOURS"

var detours = sync.OnceValue(func() map[string]string {
	return parseDetours(os.Getenv(DetoursVariable))
})

// parseDetours returns the replacement of each address. Malformed pairs are ignored.
func parseDetours(text string) map[string]string {
	parsed := make(map[string]string)
	for pair := range strings.SplitSeq(text, ",") {
		if to, via, ok := strings.Cut(strings.TrimSpace(pair), "="); ok {
			parsed[to] = via
		}
	}
	return parsed
}

// dialAddress returns the address to open for a connection to the given one.
func dialAddress(address string) string {
	if via, ok := detours()[address]; ok {
		return via
	}
	return address
}
