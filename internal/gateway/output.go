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
	// begun means that the header of the answer has been written.
	begun bool
	// begunAt is when it was written; zero before.
	begunAt time.Duration
	// lastEventAt is when the last event was passed on, maxEventGap the longest time between two.
	lastEventAt, maxEventGap time.Duration
	eventGaps                metrics.Histogram
	// events counts the events passed on.
	events int
	// lastID is the ID of the last event that was passed on.
	lastID string
	// fallback is a backend server's error answer, used if no other server does better.
	fallback *bufferedAnswer
}

// bufferedAnswer is an answer that was read whole.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
	server placement
}

// begin writes the header of an answer.
func (o *output) begin(status int, header http.Header) {
	o.begun = true
	o.begunAt = clock.Now()
	h := o.w.Header()
	connection := h.Get("Connection")
	maps.Copy(h, header)
	if connection != "" {
		h.Set("Connection", connection)
	}
	// Without this the library adds headers that the backend server did not send.
	for _, name := range []string{"Content-Type", "Date"} {
		if _, isSet := h[name]; !isSet {
			h[name] = nil
		}
	}
	o.w.WriteHeader(status)
}

// deliver writes an answer that was read whole.
func (o *output) deliver(a *bufferedAnswer) error {
	if a.header.Get("Content-Length") == "" && len(a.body) > 0 {
		a.header.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	o.begin(a.status, a.header)
	_, err := o.w.Write(a.body)
	return err
}

func (o *output) deliverFallback() { _ = o.deliver(o.fallback) }

// writeEvent passes one event on and flushes it.
func (o *output) writeEvent(e sse.Event) error {
	if _, err := o.w.Write(e.Raw); err != nil {
		return err
	}
	if e.ID != "" {
		o.lastID = e.ID
	}
	o.events++
	now := clock.Now()
	if o.lastEventAt > 0 {
		o.maxEventGap = max(o.maxEventGap, now-o.lastEventAt)
		o.eventGaps.Update((now - o.lastEventAt).Milliseconds())
	}
	o.lastEventAt = now
	return o.rc.Flush()
}
