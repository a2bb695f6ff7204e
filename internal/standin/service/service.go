// Package service plays a plain service with an independent ledger of every run
// of every call. docs/STANDINS.md describes its HTTP interface.
package service

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log"

	"github.com/apricothub/apricothub/internal/standin/web"
)

// Run is one line of the ledger: one run of one call.
type Run struct {
	N       int    `json:"n"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	ID      string `json:"id"`
	Key     string `json:"key"`
	Body    string `json:"body_sha256"`
	BeginMS int64  `json:"begin_ms"`
	EndMS   int64  `json:"end_ms"`
}

// Behaviour is the body of POST /control/behaviour. Each call runs, whatever
// becomes of its answer.
type Behaviour struct {
	DelayMS        int64 `json:"delay_ms"`
	CloseAfterRead bool  `json:"close_after_read"`
	Redirect       bool  `json:"redirect"`
}

// Answer is the body of each answer.
type Answer struct {
	N      int    `json:"n"`
	Label  string `json:"label"`
	Price  string `json:"price"`
	Pushes int    `json:"pushes"`
}

type plainService struct {
	web.Watched
	behaviour Behaviour
	ledger    []Run
	labels    map[string]Answer
}

// Main serves until the process is told to stop.
func Main(listen string, logger log.Logger) error {
	s := &plainService{ledger: []Run{}, labels: map[string]Answer{}}
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.call)
	mux.HandleFunc("GET /control/ledger", web.Get(func() (ledger []Run) {
		s.Do(func() { ledger = slices.Clone(s.ledger) })
		return ledger
	}))
	mux.HandleFunc("POST /control/behaviour", web.Set(func(b Behaviour) {
		s.Do(func() { s.behaviour = b })
	}))
	return web.Serve(listen, &http.Server{Handler: mux}, logger)
}

func (s *plainService) call(w http.ResponseWriter, r *http.Request) {
	web.Call(func(r *http.Request, body []byte) (Answer, error) {
		n, b := s.begin(r, body)
		time.Sleep(web.Millis(b.DelayMS))
		answer := s.finish(n, r, body)
		switch {
		case b.CloseAfterRead:
			panic(http.ErrAbortHandler) // Cuts the connection: the call has run, its answer is lost.
		case b.Redirect:
			w.Header().Set("Location", "/redirected"+r.URL.Path)
			return answer, web.Refusal{Status: http.StatusTemporaryRedirect, Body: answer}
		}
		return answer, nil
	})(w, r)
}

// begin enters the call in the ledger before anything else can happen to it.
func (s *plainService) begin(r *http.Request, body []byte) (n int, b Behaviour) {
	sum := sha256.Sum256(body)
	run := Run{
		Method:  r.Method,
		Path:    r.URL.Path,
		ID:      r.Header.Get("X-Request-Id"),
		Key:     r.Header.Get("X-Call"),
		Body:    hex.EncodeToString(sum[:]),
		BeginMS: web.NowMS(),
	}
	s.Do(func() {
		n, b = len(s.ledger), s.behaviour
		run.N = n + 1
		s.ledger = append(s.ledger, run)
	})
	return n, b
}

// finish does what the call asks for: a push changes a label, all else looks one up.
func (s *plainService) finish(n int, r *http.Request, body []byte) (answer Answer) {
	push := Answer{Label: strings.TrimPrefix(r.URL.Path, "/labels/")}
	pushes := r.URL.Path == "/push" && json.Unmarshal(body, &push) == nil
	s.Do(func() {
		s.ledger[n].EndMS = web.NowMS()
		if pushes {
			push.Pushes = s.labels[push.Label].Pushes + 1
			s.labels[push.Label] = push
		}
		answer = s.labels[push.Label]
	})
	answer.Label, answer.N = push.Label, n+1
	return answer
}
