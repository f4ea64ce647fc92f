// Package layers checks that the packages of the module import only packages of the same
// layer or of lower ones.
package layers

import (
	"os/exec"
	"strings"
	"testing"
)

const module = "github.com/apricotspoke/apricotspoke/"

// rank is the height of each layer, by top-level folder. A package may import packages of
// its own rank or a lower one. Folders without a rank are not checked.
var rank = map[string]int{"protocol": 0, "state": 1, "coordination": 2, "transport": 3, "platform": 3, "role": 4, "cmd": 5}

// layer returns the layer of an import path, false if it has none.
func layer(path string) (string, bool) {
	name, ok := strings.CutPrefix(path, module)
	if !ok {
		return "", false
	}
	name, _, _ = strings.Cut(name, "/")
	_, ranked := rank[name]
	return name, ranked
}

func TestPackagesImportOnlySameOrLowerLayers(t *testing.T) {
	out, err := exec.Command("go", "list", "-f", `{{.ImportPath}} {{join .Imports " "}}`, module+"...").Output()
	if err != nil {
		t.Fatalf("go list: %v", err)
	}
	for line := range strings.Lines(string(out)) {
		fields := strings.Fields(line)
		from, ok := layer(fields[0])
		if !ok {
			continue
		}
		for _, imported := range fields[1:] {
			to, ok := layer(imported)
			if ok && rank[to] > rank[from] {
				t.Errorf("%s must not import %s: %s is a layer above %s", fields[0], imported, to, from)
			}
		}
	}
}
