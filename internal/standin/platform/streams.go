package platform

import (
	"net/http"
	"sync"

	"github.com/apricothub/apricothub/internal/standin/web"
)

// streams are the log's streams by name; the configuration's has none.
type streams struct {
	mu     sync.Mutex
	byName map[string]*recordLog
	// all is what the controls last said for all streams, also those to come.
	all Control
}

func newStreams() *streams {
	return &streams{byName: make(map[string]*recordLog), all: Control{Records: -1}}
}

// stream returns a stream, which begins with its first use.
func (s *streams) stream(name string) *recordLog {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.byName[name]
	if l == nil {
		l = &recordLog{mode: s.all.Mode, delay: web.Millis(s.all.DelayMS), keep: s.all.Records}
		s.byName[name] = l
	}
	return l
}

// chosen returns the streams that a control is for.
func (s *streams) chosen(c Control) []*recordLog {
	if c.Stream != "" {
		return []*recordLog{s.stream(c.Stream)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*recordLog
	for _, l := range s.byName {
		all = append(all, l)
	}
	return all
}

func (s *streams) append(r *http.Request, data []byte) (record, error) {
	return s.stream(r.PathValue("stream")).append(r, data)
}

func (s *streams) read(r *http.Request, none web.None) (page, error) {
	return s.stream(r.PathValue("stream")).read(r, none)
}

func (s *streams) setMode(c Control) {
	if c.Stream == "" {
		s.mu.Lock()
		s.all.Mode, s.all.DelayMS = c.Mode, c.DelayMS
		s.mu.Unlock()
	}
	for _, l := range s.chosen(c) {
		l.Do(func() { l.mode, l.delay = c.Mode, web.Millis(c.DelayMS) })
	}
}

func (s *streams) setRetention(c Control) {
	if c.Stream == "" {
		s.mu.Lock()
		s.all.Records = c.Records
		s.mu.Unlock()
	}
	for _, l := range s.chosen(c) {
		l.Do(func() {
			l.keep = c.Records
			l.expire()
		})
	}
}
