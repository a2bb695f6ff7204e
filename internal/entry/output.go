package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/result"
)

// doneEvent is the last event of a streamed completion.
const doneEvent = "data: [DONE]"

// output writes an answer to the caller. A stream of events is written as it arrives. Any other
// answer is written only when it is complete, so that a failure can still have its own status and
// another attempt can replace it.
type output struct {
	w           http.ResponseWriter
	control     *http.ResponseController
	backendHead *api.Head
	stream      bool
	started     atomic.Bool // also read by the goroutine that notices that the caller is gone
	complete    bool
	unflushed   bool   // something was written and not flushed
	eventBuffer []byte // reused for each event
	body        bytes.Buffer
}

// writeGrace is how long after its deadline a request may still write.
const writeGrace = 2 * time.Second

// newOutput returns the output of a request with the given time left. Writing ends after that time:
// a caller that stops reading but keeps its connection open would otherwise hold its slots at the
// gate and at the agent forever, and keep the process from stopping.
func newOutput(w http.ResponseWriter, left time.Duration) *output {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(left + writeGrace))
	return &output{w: w, control: control}
}

// hasBegun says whether any part of the answer was sent to the caller.
func (o *output) hasBegun() bool { return o.started.Load() }

// hasHead says whether the status is known.
func (o *output) hasHead() bool { return o.backendHead != nil }

// reset discards what an earlier attempt has brought, unless the caller has received part of it.
func (o *output) reset() {
	if o.hasBegun() {
		return
	}
	o.backendHead = nil
	o.body.Reset()
	o.stream = false
}

// setHead sets the status and the headers. The same head arrives again over each further link of an
// attempt. The parts received before are kept, or the answer would be too short and look complete.
func (o *output) setHead(h *api.Head) {
	if o.hasHead() {
		return
	}
	o.backendHead = h
	for _, header := range h.GetHeaders() {
		if header.GetName() == "Content-Type" && strings.HasPrefix(header.GetValue(), "text/event-stream") {
			o.stream = true
		}
	}
}

// writePart writes or buffers one new part.
func (o *output) writePart(answerID string, part *api.Part) error {
	if !o.stream && !o.hasBegun() {
		o.body.Write(part.GetData())
		return nil
	}
	o.beginStream()
	data := part.GetData()
	if bytes.HasPrefix(data, []byte(doneEvent)) {
		// The end marker is written by writeEnd, when the answer is known to be complete.
		return nil
	}
	o.eventBuffer = append(o.eventBuffer[:0], "id: "...)
	o.eventBuffer = append(o.eventBuffer, answerID...)
	o.eventBuffer = append(o.eventBuffer, ':')
	o.eventBuffer = strconv.AppendUint(o.eventBuffer, part.GetNumber(), 10)
	o.eventBuffer = append(o.eventBuffer, '\n')
	o.eventBuffer = append(o.eventBuffer, data...)
	o.unflushed = true
	if _, err := o.w.Write(o.eventBuffer); err != nil {
		return result.New(api.ResultCode_ANSWER_BROKEN, "The caller has gone.")
	}
	return nil
}

// flush sends the caller what was written. It is called when no further event is waiting, so that
// no token is delayed and events that arrived together are sent together.
func (o *output) flush() error {
	if !o.unflushed {
		return nil
	}
	o.unflushed = false
	if err := o.control.Flush(); err != nil {
		return result.New(api.ResultCode_ANSWER_BROKEN, "The caller has gone.")
	}
	return nil
}

// beginStream writes the headers of a stream.
func (o *output) beginStream() {
	if o.hasBegun() {
		return
	}
	o.started.Store(true)
	o.writeHead()
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.Header().Set("Cache-Control", "no-store")
	o.w.WriteHeader(int(o.backendHead.GetStatus()))
}

func (o *output) writeHead() {
	for _, h := range o.backendHead.GetHeaders() {
		o.w.Header().Add(h.GetName(), h.GetValue())
	}
	result.SetHeader(o.w.Header(), api.ResultCode_OK)
}

// writeEnd writes the end marker with the counts of the answer. It is not flushed, so that it is
// sent in the same write as the end of the HTTP answer, which the library writes next.
func (o *output) writeEnd(end *api.End) error {
	streamed := o.stream || o.hasBegun()
	if !streamed && uint64(o.body.Len()) != end.GetBytes() {
		// This is the last check against an incomplete answer that looks complete.
		return result.Newf(api.ResultCode_ANSWER_BROKEN, "Of %d bytes of the answer %d are here.", end.GetBytes(), o.body.Len())
	}
	o.complete = true
	if streamed {
		o.beginStream()
		o.unflushed = true
		_, err := fmt.Fprintf(o.w, ": whole parts=%d bytes=%d\n%s\n\n", end.GetParts(), end.GetBytes(), doneEvent)
		if err != nil {
			return result.New(api.ResultCode_ANSWER_BROKEN, "The caller has gone.")
		}
		return nil
	}
	o.writeHead()
	o.w.Header().Set("Content-Length", strconv.Itoa(o.body.Len()))
	o.w.WriteHeader(int(o.backendHead.GetStatus()))
	_, _ = o.w.Write(o.body.Bytes())
	return nil
}

// finish ends an answer that failed. If the caller has received part of it, an error event is
// written and the connection is cut without the end marker.
func (o *output) finish(err error) error {
	if err == nil || o.complete {
		return nil
	}
	if !o.hasBegun() {
		return err
	}
	text, _ := json.Marshal(result.Body{Error: result.FromError(err).Detail()})
	_, _ = fmt.Fprintf(o.w, "event: error\ndata: %s\n\n", text)
	_ = o.control.Flush()
	return &abortedError{cause: err}
}

// escapePath returns a decoded path as it appears in a request line.
func escapePath(p string) string {
	return (&url.URL{Path: p}).EscapedPath()
}
