package fakeendpoint

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
)

// Booking is the body and the answer of POST /book. Number is set in the answer only.
type Booking struct {
	Number    string `json:"number,omitempty"`
	Reference string `json:"reference"`
}

type contractRecord struct {
	Contract string `json:"contract"`
	Renewal  string `json:"renewal"`
}

// withAdmission admits each request to the plain service as an attempt and delays its
// answer by the service time.
func (e *Endpoint) withAdmission(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerAttempt)
		if id == "" {
			id = "direct-" + rand.Text()
		}
		a := &attempt{id: id, endsByHandler: true, changed: make(chan struct{})}
		switch err := e.admit(a); {
		case errors.Is(err, errDuplicate):
			http.Error(w, err.Error(), http.StatusConflict)
			return
		case err != nil:
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(headerBoot, a.bootID)
		e.runService(a, w, r, next)
	}
}

func (e *Endpoint) runService(a *attempt, w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	e.mu.Lock()
	duration := time.Duration(float64(e.config.ServiceTime) * e.slowdown)
	e.mu.Unlock()
	answered := &delayedResponse{header: w.Header(), status: http.StatusOK}
	next(answered, r)
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.disconnect:
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	lost := a.state == stateLost
	e.end(a, stateDone)
	e.mu.Unlock()
	if lost {
		e.holdOpen(a, r)
	}
	w.WriteHeader(answered.status)
	_, _ = w.Write(answered.body)
}

// holdOpen keeps the connection of an attempt that was lost in a restart open without an
// answer, until the caller disconnects or the connections of that boot break.
func (e *Endpoint) holdOpen(a *attempt, r *http.Request) {
	select {
	case <-a.disconnect:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// delayedResponse buffers an answer until the service time has passed.
type delayedResponse struct {
	header http.Header
	status int
	body   []byte
}

func (d *delayedResponse) Header() http.Header { return d.header }

func (d *delayedResponse) WriteHeader(status int) { d.status = status }

func (d *delayedResponse) Write(data []byte) (int, error) {
	d.body = append(d.body, data...)
	return len(data), nil
}

// serveBook makes a booking and counts it by its idempotency key. Without the header, the
// reference in the body is the key.
func (e *Endpoint) serveBook(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var booking Booking
	_ = json.Unmarshal(body, &booking)
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = booking.Reference
	}
	e.mu.Lock()
	e.runsByKey[key]++
	e.bookings++
	booking.Number = fmt.Sprintf("%s-%06d", e.config.Name, e.bookings)
	e.mu.Unlock()
	writeJSON(w, http.StatusCreated, booking)
}

func (e *Endpoint) serveContract(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, contractRecord{Contract: chi.URLParam(r, "name"), Renewal: "2027-04-01"})
}

// serveEcho answers any other request with the body of the request.
func (e *Endpoint) serveEcho(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(w, http.MaxBytesReader(w, r.Body, maxBodyBytes))
}
