package logs

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestRateLimitedWarningIsWrittenOncePerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger := For("test")
		written := 0
		for range 100 {
			if _, write := logger.allow("link lost"); write {
				written++
			}
		}
		if written != 1 {
			t.Fatalf("wrote %d lines, want 1", written)
		}
		time.Sleep(rateLimitInterval)
		if left, write := logger.allow("link lost"); !write || left != 99 {
			t.Fatalf("left out %d, written %v; want 99 and true", left, write)
		}
	})
}

func TestLinesBelowTheMinimumLevelAreNotWritten(t *testing.T) {
	SetLevel("error")
	defer SetLevel("info")
	if For("test").Warn() != nil {
		t.Fatal("a warning was started at level error")
	}
}
