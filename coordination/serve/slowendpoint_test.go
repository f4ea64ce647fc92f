package serve

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/apricotspoke/apricotspoke/trials/bubble"
)

// readingBody is an endpoint that reads a part of the request's body, slowly, and then
// nothing. Its attempt ends with the connection.
func readingBody(chunks int) func(context.Context, *Attempt) (*Response, error) {
	return func(ctx context.Context, a *Attempt) (*Response, error) {
		entry, endpoint := net.Pipe()
		defer context.AfterFunc(ctx, func() { _ = entry.Close() })()
		go func() {
			chunk := make([]byte, 1<<10)
			for range chunks {
				time.Sleep(5 * time.Millisecond)
				_, _ = endpoint.Read(chunk) // fails when the attempt has ended
			}
		}()
		_, err := entry.Write(a.Request.Body)
		return nil, err
	}
}

// maxPlacement is more than it takes to place a request again.
const maxPlacement = 100 * time.Millisecond

// Guards against an endpoint that reads a body slowly, or stops reading it, and keeps the
// request and its memory for longer than one that is silent.
func TestStalledBodyWriteIsAStall(t *testing.T) {
	for _, c := range []struct {
		route  string
		chunks int
		status int
		sends  int
		class  string
		took   time.Duration
	}{
		{"again", 0, 200, 2, "silent", 100 * time.Millisecond}, // the objective
		{"again", 10, 200, 2, "silent", 100 * time.Millisecond},
		{"once", 10, 504, 1, "ended_by_caller", 2 * time.Second}, // may run once only: until its time limit
	} {
		bubble.Run(t, func(t *testing.T) {
			b := newTestbed(t, readingBody(c.chunks), good("yes"))
			b.setMaxStateAge(0)
			q, g := b.request(c.route), &recorder{}
			q.Body = make([]byte, 64<<10)
			began := time.Now()
			b.server.Serve(t.Context(), q, g)
			if took := time.Since(began); g.status != c.status || len(b.sentAttempts()) != c.sends || took < c.took || took > c.took+maxPlacement {
				t.Errorf("%s, %d chunks: status %d, %d attempts, after %v", c.route, c.chunks, g.status, len(b.sentAttempts()), took)
			}
			if !b.hasMetric(`serve_attempts{organisation="",class="` + c.class + `"} 1`) {
				t.Errorf("%s, %d chunks: the attempt does not count as %s", c.route, c.chunks, c.class)
			}
			if left := len(b.scheduler.OwnEvents()); left != 0 {
				t.Errorf("%d pieces of work are left", left)
			}
		})
	}
}
