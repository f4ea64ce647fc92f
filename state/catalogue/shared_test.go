package catalogue

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
)

// Guards against a process that decodes each version twice: once from its log and once
// from another process that was faster.
func TestTextIsDecodedOnceForAllUsers(t *testing.T) {
	var calls atomic.Int32
	decode := Shared(func(text []byte) (*Catalogue, error) {
		calls.Add(1)
		return decodeVersion(text)
	})
	for v := range uint64(3) {
		var users sync.WaitGroup
		for range 4 {
			users.Go(func() {
				c, err := decode(fmt.Appendf(nil, `{"Version":%d}`, v))
				if err != nil || c.Version != v {
					t.Errorf("version %d: %v, %v", v, c, err)
				}
			})
		}
		users.Wait()
	}
	if n := calls.Load(); n != 3 {
		t.Errorf("3 texts were decoded %d times", n)
	}
	if _, err := decode([]byte("{")); err == nil {
		t.Error("a text that can't be decoded was taken")
	}
}
