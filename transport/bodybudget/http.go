package bodybudget

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
)

// refusalWriteTimeout bounds the writing of an answer to a caller whose body was refused and
// who may not read.
const refusalWriteTimeout = 5 * time.Second

// ReadRequest reads the body of a request, of at most maxBytes and until deadline. After an
// error the caller must call CloseUnread before it writes the answer.
func (b *Budget) ReadRequest(w http.ResponseWriter, r *http.Request, maxBytes int, deadline time.Time) (*Body, error) {
	if r.ContentLength == 0 {
		return &Body{budget: b}, nil
	}
	setDeadline := deadlineSetter(w, r)
	body, err := b.Read(Source{Reader: r.Body, SetReadDeadline: setDeadline, AnnouncedBytes: r.ContentLength, MaxBytes: maxBytes, Deadline: deadline})
	if err != nil {
		b.logRefusal(err)
		return nil, err
	}
	_ = setDeadline(time.Time{}) // fails if the caller has disconnected
	return body, nil
}

// deadlineSetter returns the function that sets the deadline of reads from the body. The first
// read of a body with "Expect: 100-continue" writes to the connection, which blocks if the
// caller doesn't read, so the deadline then applies to writes too.
func deadlineSetter(w http.ResponseWriter, r *http.Request) func(time.Time) error {
	control := http.NewResponseController(w)
	if r.Header.Get("Expect") == "" {
		return control.SetReadDeadline
	}
	return func(deadline time.Time) error {
		return errors.Join(control.SetReadDeadline(deadline), control.SetWriteDeadline(deadline))
	}
}

// logRefusal logs why a body was refused, unless its caller has disconnected.
func (b *Budget) logRefusal(err error) {
	kind := fault.KindOf(err)
	if kind == fault.InvalidRequest {
		return
	}
	b.logger.RateLimitedWarn(string(kind)).Int64("held_bytes", b.HeldBytes()).Err(err).Msg("A request body is refused.")
}

// CloseUnread makes the server close the connection after the answer, without reading what is
// left of the body. A close with unread bytes resets the connection, and the caller may lose
// the answer. net/http avoids that after a MaxBytesReader has exceeded its limit: it ends its
// sending side and waits before it closes. So CloseUnread makes such a reader exceed its limit.
func CloseUnread(w http.ResponseWriter) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Unix(1, 0)) // net/http would read on for 256 KiB; not supported in some tests
	_ = control.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	w.Header().Set("Connection", "close")
	_, _ = http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
}
