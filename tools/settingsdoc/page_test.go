package main

import (
	"os"
	"testing"
)

func TestPageIsUpToDate(t *testing.T) {
	have, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(have) != page() {
		t.Error("docs/SETTINGS.md is out of date; run: go run ./tools/settingsdoc")
	}
}
