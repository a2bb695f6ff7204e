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
	// before is how long before the first line of a request a change of belief may be its
	// cause, and meanwhile how long after its last line one is still of interest: servers
	// lapse, and groups form again, within seconds.
	before    = 10 * time.Second
	meanwhile = 2 * time.Second
	// mostAround bounds the changes of belief that are kept for one process: the last ones.
	mostAround = 512
	// maxLine bounds a line, bytes; longer ones are passed over.
	maxLine = 1 << 20
)

// Story is what logs say of one request.
type Story struct {
	Request string
	// Lines are the request's own, of all processes, in order.
	Lines []Line
	// Around are lines about the state of the processes that served it.
	Around []Line
	// LeftOut counts the lines about requests that all these logs say were left out, and
	// those of any kind that nobody read.
	LeftOut int64
	// Read counts the lines that were read, Unread those that could not be.
	Read, Unread int
}

// Reader gathers the story of one request out of logs. Each log is read once, from its
// beginning, so that a pipe will do.
type Reader struct {
	story  Story
	states map[string]*states
	// bySentence and byBound are lines about requests that were left out, by what the next
	// line of each sentence says and by what the bound itself does; unread those of any kind
	// that nobody read.
	bySentence, byBound, unread int64
}

// states are a process's lines about itself, near to the request or to the line read last.
type states struct {
	lines []Line
	// seen says that the request has a line of this process, the last one at last.
	seen bool
	last time.Time
}

// NewReader returns a reader for the request with an id.
func NewReader(request string) *Reader {
	return &Reader{story: Story{Request: request}, states: make(map[string]*states)}
}

// Read takes in one log: the lines of one process, or of several one after another or mixed.
func (r *Reader) Read(log io.Reader) error {
	lines := bufio.NewReaderSize(log, maxLine)
	id := []byte(r.story.Request)
	// An id that is quoted in the log does not show as it is.
	plain := !bytes.ContainsAny(id, `"\`)
	mark := []byte(" " + logging.RequestKey + "=")
	for {
		text, err := lines.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			r.story.Unread++
		case len(text) > 0 && plain && bytes.Contains(text, mark) && !bytes.Contains(text, id):
			r.story.Read++
			r.countLeftOut(text)
		case len(bytes.TrimSpace(text)) > 0:
			r.take(text)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return errors.Wrap(err, "read log")
		}
	}
}

// countLeftOut counts what the line of another request says was left out, without reading the
// rest of it.
func (r *Reader) countLeftOut(text []byte) {
	_, after, found := bytes.Cut(text, []byte(" "+logging.DroppedKey+"="))
	if !found {
		return
	}
	digits, _, _ := bytes.Cut(bytes.TrimSpace(after), []byte(" "))
	if n, err := strconv.ParseInt(string(digits), 10, 64); err == nil {
		r.bySentence += n
	}
}

func (r *Reader) take(text []byte) {
	l, err := parseLine(text)
	if err != nil {
		r.story.Unread++
		return
	}
	r.story.Read++
	l.order = r.story.Read
	if l.Request != "" {
		r.countLeftOut(text)
	}
	process := l.VM
	s := r.states[process]
	if s == nil {
		s = &states{}
		r.states[process] = s
	}
	switch l.Request {
	case r.story.Request:
		s.seen = true
		s.last = l.At
		r.story.Lines = append(r.story.Lines, l)
	case "":
		r.byBound += l.number(logging.Served.String()) + l.number(logging.Failed.String())
		r.unread += l.number(logging.UnreadKey)
		s.keep(l)
	}
}

// keep keeps a line about the process while it may matter.
func (s *states) keep(l Line) {
	if s.seen && l.At.Sub(s.last) > meanwhile {
		return
	}
	s.lines = append(s.lines, l)
	if s.seen {
		if len(s.lines) > 2*mostAround {
			s.lines = s.lines[:2*mostAround]
		}
		return
	}
	old := 0
	for old < len(s.lines) && (l.At.Sub(s.lines[old].At) > before || len(s.lines)-old > mostAround) {
		old++
	}
	s.lines = slices.Delete(s.lines, 0, old)
}

// Story returns what was gathered.
func (r *Reader) Story() *Story {
	story := r.story
	// Both tell of the same lines, and neither of those left out last.
	story.LeftOut = max(r.bySentence, r.byBound) + r.unread
	byTime := func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.order, b.order)) }
	slices.SortFunc(story.Lines, byTime)
	if len(story.Lines) == 0 {
		return &story
	}
	first, last := story.Lines[0].At, story.Lines[len(story.Lines)-1].At
	about := subjects(story.Lines)
	for _, s := range r.states {
		if !s.seen {
			continue
		}
		for _, l := range s.lines {
			if first.Sub(l.At) <= before && l.At.Sub(last) <= meanwhile && concerns(l, about) {
				story.Around = append(story.Around, l)
			}
		}
	}
	slices.SortFunc(story.Around, byTime)
	return &story
}

// subjectKeys are the keys by which a change of belief concerns a request or not.
var subjectKeys = []string{"service", "server"}

// subjects are the services and backend servers that lines name.
func subjects(lines []Line) map[Field]bool {
	about := make(map[Field]bool)
	for _, l := range lines {
		for _, key := range subjectKeys {
			if value := l.field(key); value != "" {
				about[Field{key, value}] = true
			}
		}
	}
	return about
}

// concerns says whether a line about the process may have to do with the request: it names
// one of the request's services or servers, or none at all.
func concerns(l Line, about map[Field]bool) bool {
	named := false
	for _, key := range subjectKeys {
		value := l.field(key)
		if value == "" {
			continue
		}
		if about[Field{key, value}] {
			return true
		}
		named = true
	}
	return !named
}
