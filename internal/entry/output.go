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

// doneEvent is how a streamed completion ends.
const doneEvent = "data: [DONE]"

// output takes an answer to the caller. A stream of events goes out as it comes; any
// other answer only when it is whole, so that its failure still has a status of its
// own and another attempt can take its place.
type output struct {
	w       http.ResponseWriter
	control *http.ResponseController
	backend *api.Head
	stream  bool
	started atomic.Bool // read by the goroutine that notices that the caller has gone
	whole   bool
	unsent  bool   // something was written and not flushed
	event   []byte // used again for each
	body    bytes.Buffer
}

// writeGrace is how long after its deadline a request may still write.
const writeGrace = 2 * time.Second

// newOutput returns the output of a request that has so much time left. Writing ends with
// it: a caller that stops reading and keeps its connection open would hold its place at
// the gate and at the agent for ever, and keep the process from stopping.
func newOutput(w http.ResponseWriter, left time.Duration) *output {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(left + writeGrace))
	return &output{w: w, control: control}
}

// begun says that the caller has had something of the answer.
func (o *output) begun() bool { return o.started.Load() }

// headed says that the status is known.
func (o *output) headed() bool { return o.backend != nil }

// restart forgets what an earlier attempt has brought, which the caller has had nothing
// of.
func (o *output) restart() {
	if o.begun() {
		return
	}
	o.backend = nil
	o.body.Reset()
	o.stream = false
}

// head takes status and header. The same head comes again over each further link of an
// attempt: the parts before it stay, or the answer would end short and look whole.
func (o *output) head(h *api.Head) {
	if o.headed() {
		return
	}
	o.backend = h
	for _, header := range h.GetHeaders() {
		if header.GetName() == "Content-Type" && strings.HasPrefix(header.GetValue(), "text/event-stream") {
			o.stream = true
		}
	}
}

// part takes one new part.
func (o *output) part(answerID string, part *api.Part) error {
	if !o.stream && !o.begun() {
		o.body.Write(part.GetData())
		return nil
	}
	o.begin()
	data := part.GetData()
	if bytes.HasPrefix(data, []byte(doneEvent)) {
		// The mark that the answer is whole is written when that is known.
		return nil
	}
	o.event = append(o.event[:0], "id: "...)
	o.event = append(o.event, answerID...)
	o.event = append(o.event, ':')
	o.event = strconv.AppendUint(o.event, part.GetNumber(), 10)
	o.event = append(o.event, '\n')
	o.event = append(o.event, data...)
	o.unsent = true
	if _, err := o.w.Write(o.event); err != nil {
		return result.New(api.ResultCode_ANSWER_BROKEN, "The caller has gone.")
	}
	return nil
}

// flush sends the caller what was written. It is called when no more of the answer is
// here, so that a token never waits; those that came together go out together.
func (o *output) flush() error {
	if !o.unsent {
		return nil
	}
	o.unsent = false
	if err := o.control.Flush(); err != nil {
		return result.New(api.ResultCode_ANSWER_BROKEN, "The caller has gone.")
	}
	return nil
}

// begin writes the header of a stream.
func (o *output) begin() {
	if o.begun() {
		return
	}
	o.started.Store(true)
	o.writeHead()
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.Header().Set("Cache-Control", "no-store")
	o.w.WriteHeader(int(o.backend.GetStatus()))
}

func (o *output) writeHead() {
	for _, h := range o.backend.GetHeaders() {
		o.w.Header().Add(h.GetName(), h.GetValue())
	}
	result.SetHeader(o.w.Header(), api.ResultCode_OK)
}

// end writes the mark that the answer is whole, with its count. It goes out with the end of
// the HTTP answer, which the library writes next, by one write.
func (o *output) end(end *api.End) error {
	streamed := o.stream || o.begun()
	if !streamed && uint64(o.body.Len()) != end.GetBytes() {
		// The last guard against an answer that looks whole and is not.
		return result.Newf(api.ResultCode_ANSWER_BROKEN, "Of %d bytes of the answer %d are here.", end.GetBytes(), o.body.Len())
	}
	o.whole = true
	if streamed {
		o.begin()
		o.unsent = true
		_, err := fmt.Fprintf(o.w, ": whole parts=%d bytes=%d\n%s\n\n", end.GetParts(), end.GetBytes(), doneEvent)
		if err != nil {
			return result.New(api.ResultCode_ANSWER_BROKEN, "The caller has gone.")
		}
		return nil
	}
	o.writeHead()
	o.w.Header().Set("Content-Length", strconv.Itoa(o.body.Len()))
	o.w.WriteHeader(int(o.backend.GetStatus()))
	_, _ = o.w.Write(o.body.Bytes())
	return nil
}

// finish ends an answer that failed. One that the caller has had in part gets an
// event that says so, and its connection is cut without the mark of the end.
func (o *output) finish(err error) error {
	if err == nil || o.whole {
		return nil
	}
	if !o.begun() {
		return err
	}
	text, _ := json.Marshal(result.Body{Error: result.FromError(err).Detail()})
	_, _ = fmt.Fprintf(o.w, "event: error\ndata: %s\n\n", text)
	_ = o.control.Flush()
	return &abortedError{cause: err}
}

// escapePath writes a decoded path as it stands in a request line.
func escapePath(p string) string {
	return (&url.URL{Path: p}).EscapedPath()
}
