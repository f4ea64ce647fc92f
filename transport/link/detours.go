package link

import (
	"os"
	"strings"
	"sync"
)

// DetoursVariable names the environment variable that leads links over other
// addresses, as address translation and trials need it: comma-separated pairs
// "to=via", where a connection to the first address is opened to the second.
const DetoursVariable = "APRICOTSPOKE_DETOURS"

var detours = sync.OnceValue(func() map[string]string {
	return parseDetours(os.Getenv(DetoursVariable))
})

func parseDetours(text string) map[string]string {
	parsed := make(map[string]string)
	for pair := range strings.SplitSeq(text, ",") {
		if to, via, ok := strings.Cut(strings.TrimSpace(pair), "="); ok {
			parsed[to] = via
		}
	}
	return parsed
}

// detour returns the address to open in place of the given one.
func detour(address string) string {
	if via, ok := detours()[address]; ok {
		return via
	}
	return address
}
