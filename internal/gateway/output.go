package gateway

import (
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/sse"
)

// output is the caller's side of a request.
type output struct {
	w  http.ResponseWriter
	rc *http.ResponseController
	// begun says that the head of the answer has been written.
	begun bool
	// firstAt is when it was; zero before.
	firstAt time.Duration
	// eventAt is when the last event was passed on, and gap the longest time between two.
	eventAt, gap time.Duration
	between      metrics.Histogram
	// lastID is the ID of the last event passed on.
	lastID string
	// fallback is the failure that a backend server answered, for when no other does better.
	fallback *heldAnswer
}

// heldAnswer is an answer that was read whole.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
	server placement
}

// begin writes the head of an answer.
func (o *output) begin(status int, header http.Header) {
	o.begun = true
	o.firstAt = clock.Now()
	h := o.w.Header()
	closing := h.Get("Connection")
	maps.Copy(h, header)
	if closing != "" {
		h.Set("Connection", closing)
	}
	// The library would add what the backend server did not say.
	for _, name := range []string{"Content-Type", "Date"} {
		if _, said := h[name]; !said {
			h[name] = nil
		}
	}
	o.w.WriteHeader(status)
}

// deliver writes an answer that was read whole.
func (o *output) deliver(a *heldAnswer) error {
	if a.header.Get("Content-Length") == "" && len(a.body) > 0 {
		a.header.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	o.begin(a.status, a.header)
	_, err := o.w.Write(a.body)
	return err
}

func (o *output) deliverFallback() { _ = o.deliver(o.fallback) }

// event passes one event on at once.
func (o *output) event(e sse.Event) error {
	if _, err := o.w.Write(e.Raw); err != nil {
		return err
	}
	if e.ID != "" {
		o.lastID = e.ID
	}
	now := clock.Now()
	if o.eventAt > 0 {
		o.gap = max(o.gap, now-o.eventAt)
		o.between.Update((now - o.eventAt).Milliseconds())
	}
	o.eventAt = now
	return o.rc.Flush()
}
