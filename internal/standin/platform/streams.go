package platform

import (
	"net/http"
	"sync"

	"github.com/apricothub/apricothub/internal/standin/web"
)

// streams holds the streams of the log by name. The stream of the configuration has an empty name.
type streams struct {
	mu     sync.Mutex
	byName map[string]*recordLog
	// defaults holds the last settings made for all streams. New streams start with them.
	defaults ControlRequest
}

func newStreams() *streams {
	return &streams{byName: make(map[string]*recordLog), defaults: ControlRequest{Records: -1}}
}

// stream returns the stream with that name and creates it on first use.
func (s *streams) stream(name string) *recordLog {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.byName[name]
	if l == nil {
		l = &recordLog{mode: s.defaults.Mode, delay: web.Millis(s.defaults.DelayMS), maxRecords: s.defaults.Records}
		s.byName[name] = l
	}
	return l
}

// selected returns the streams that a control request applies to.
func (s *streams) selected(c ControlRequest) []*recordLog {
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

func (s *streams) read(r *http.Request, none web.NoBody) (page, error) {
	return s.stream(r.PathValue("stream")).read(r, none)
}

func (s *streams) setMode(c ControlRequest) {
	if c.Stream == "" {
		s.mu.Lock()
		s.defaults.Mode, s.defaults.DelayMS = c.Mode, c.DelayMS
		s.mu.Unlock()
	}
	for _, l := range s.selected(c) {
		l.WithLock(func() { l.mode, l.delay = c.Mode, web.Millis(c.DelayMS) })
	}
}

func (s *streams) setRetention(c ControlRequest) {
	if c.Stream == "" {
		s.mu.Lock()
		s.defaults.Records = c.Records
		s.mu.Unlock()
	}
	for _, l := range s.selected(c) {
		l.WithLock(func() {
			l.maxRecords = c.Records
			l.expire()
		})
	}
}
