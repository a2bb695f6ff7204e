package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/logging"
)

const (
	// contextBefore is how long before the first line of a request a line about a process may show
	// its cause. contextAfter is how long after its last line one is still of interest: servers
	// expire and groups form again within seconds.
	contextBefore = 10 * time.Second
	contextAfter  = 2 * time.Second
	// maxContextLines limits the context lines that are kept for one process to the last ones.
	maxContextLines = 512
	// maxLineBytes is the maximum length of a line; longer lines are skipped.
	maxLineBytes = 1 << 20
)

// Timeline holds the log lines about one request.
type Timeline struct {
	Request string
	// Lines are the request's own lines from all processes, in order.
	Lines []Line
	// Context are lines about the state of the processes that handled the request.
	Context []Line
	// Dropped counts the lines that the logs report as dropped: those about requests, and those
	// of any kind that were dropped because nobody read the log.
	Dropped int64
	// Parsed counts the lines that were parsed, Unparsable those that could not be.
	Parsed, Unparsable int
}

// Reader collects the timeline of one request from logs. Each log is read once and sequentially, so
// it may be a pipe.
type Reader struct {
	timeline  Timeline
	processes map[string]*processContext
	// droppedBySentence and droppedByLimit count the dropped lines about requests, as reported by
	// the next line of each sentence and by the rate limit's own lines. droppedUnread counts lines
	// of any kind that were dropped because nobody read the log.
	droppedBySentence, droppedByLimit, droppedUnread int64
}

// processContext holds a process's lines about itself, near the request or the last line read.
type processContext struct {
	lines []Line
	// hasRequest is true if this process has a line of the request. The last one is at
	// lastRequestLine.
	hasRequest      bool
	lastRequestLine time.Time
}

// NewReader returns a reader for the request with the given ID.
func NewReader(request string) *Reader {
	return &Reader{timeline: Timeline{Request: request}, processes: make(map[string]*processContext)}
}

// Read reads one log: the lines of one process, or of several, concatenated or interleaved.
func (r *Reader) Read(log io.Reader) error {
	lines := bufio.NewReaderSize(log, maxLineBytes)
	id := []byte(r.timeline.Request)
	// An ID that needs quoting does not appear verbatim in the log.
	unquoted := !bytes.ContainsAny(id, `"\`)
	requestKey := []byte(" " + logging.RequestKey + "=")
	for {
		text, err := lines.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			r.timeline.Unparsable++
		case len(text) > 0 && unquoted && bytes.Contains(text, requestKey) && !bytes.Contains(text, id):
			r.timeline.Parsed++
			r.countDropped(text)
		case len(bytes.TrimSpace(text)) > 0:
			r.addLine(text)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return errors.Wrap(err, "read log")
		}
	}
}

// countDropped adds the number of dropped lines that a line reports, without parsing the rest.
func (r *Reader) countDropped(text []byte) {
	_, after, found := bytes.Cut(text, []byte(" "+logging.DroppedKey+"="))
	if !found {
		return
	}
	digits, _, _ := bytes.Cut(bytes.TrimSpace(after), []byte(" "))
	if n, err := strconv.ParseInt(string(digits), 10, 64); err == nil {
		r.droppedBySentence += n
	}
}

func (r *Reader) addLine(text []byte) {
	l, err := parseLine(text)
	if err != nil {
		r.timeline.Unparsable++
		return
	}
	r.timeline.Parsed++
	l.order = r.timeline.Parsed
	if l.Request != "" {
		r.countDropped(text)
	}
	vm := l.VM
	p := r.processes[vm]
	if p == nil {
		p = &processContext{}
		r.processes[vm] = p
	}
	switch l.Request {
	case r.timeline.Request:
		p.hasRequest = true
		p.lastRequestLine = l.Time
		r.timeline.Lines = append(r.timeline.Lines, l)
	case "":
		r.droppedByLimit += l.number(logging.Served.String()) + l.number(logging.Failed.String())
		r.droppedUnread += l.number(logging.UnreadKey)
		p.addContext(l)
	}
}

// addContext keeps a line about the process while it may be relevant to the request.
func (p *processContext) addContext(l Line) {
	if p.hasRequest && l.Time.Sub(p.lastRequestLine) > contextAfter {
		return
	}
	p.lines = append(p.lines, l)
	if p.hasRequest {
		if len(p.lines) > 2*maxContextLines {
			p.lines = p.lines[:2*maxContextLines]
		}
		return
	}
	expired := 0
	for expired < len(p.lines) && (l.Time.Sub(p.lines[expired].Time) > contextBefore || len(p.lines)-expired > maxContextLines) {
		expired++
	}
	p.lines = slices.Delete(p.lines, 0, expired)
}

// Timeline returns the timeline of the request from all logs read so far.
func (r *Reader) Timeline() *Timeline {
	timeline := r.timeline
	// Both count the same lines, and neither includes the most recently dropped ones.
	timeline.Dropped = max(r.droppedBySentence, r.droppedByLimit) + r.droppedUnread
	byTime := func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.order, b.order)) }
	slices.SortFunc(timeline.Lines, byTime)
	if len(timeline.Lines) == 0 {
		return &timeline
	}
	first, last := timeline.Lines[0].Time, timeline.Lines[len(timeline.Lines)-1].Time
	requestSubjects := subjectsOf(timeline.Lines)
	for _, p := range r.processes {
		if !p.hasRequest {
			continue
		}
		for _, l := range p.lines {
			if first.Sub(l.Time) <= contextBefore && l.Time.Sub(last) <= contextAfter && concerns(l, requestSubjects) {
				timeline.Context = append(timeline.Context, l)
			}
		}
	}
	slices.SortFunc(timeline.Context, byTime)
	return &timeline
}

// subjectKeys are the keys that decide whether a line about a process concerns a request.
var subjectKeys = []string{"service", "server"}

// subjectsOf returns the services and backend servers that lines name.
func subjectsOf(lines []Line) map[Field]bool {
	found := make(map[Field]bool)
	for _, l := range lines {
		for _, key := range subjectKeys {
			if value := l.field(key); value != "" {
				found[Field{key, value}] = true
			}
		}
	}
	return found
}

// concerns returns true if a line about a process may be related to the request: it names one of
// the request's services or servers, or none at all.
func concerns(l Line, requestSubjects map[Field]bool) bool {
	hasSubject := false
	for _, key := range subjectKeys {
		value := l.field(key)
		if value == "" {
			continue
		}
		if requestSubjects[Field{key, value}] {
			return true
		}
		hasSubject = true
	}
	return !hasSubject
}
