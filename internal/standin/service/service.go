// Package service is the stand-in for a plain service. It keeps a ledger with every execution of
// every call, independent of what callers are told. docs/STANDINS.md describes its HTTP interface.
package service

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log"

	"github.com/apricothub/apricothub/internal/standin/web"
)

// LedgerLine is one execution of a call.
type LedgerLine struct {
	Number  int    `json:"n"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	ID      string `json:"id"`
	Key     string `json:"key"`
	Body    string `json:"body_sha256"`
	BeginMS int64  `json:"begin_ms"`
	EndMS   int64  `json:"end_ms"`
}

// Behaviour is the body of POST /control/behaviour. Calls are executed in any case; it only affects
// their responses.
type Behaviour struct {
	DelayMS        int64 `json:"delay_ms"`
	CloseAfterRead bool  `json:"close_after_read"`
	Redirect       bool  `json:"redirect"`
	// RawAnswer replaces the whole response to a call that was executed; empty for none.
	RawAnswer string `json:"raw_answer"`
}

// Answer is the response body of every call.
type Answer struct {
	Number int    `json:"n"`
	Label  string `json:"label"`
	Price  string `json:"price"`
	Pushes int    `json:"pushes"`
}

type plainService struct {
	web.Monitor
	behaviour Behaviour
	ledger    []LedgerLine
	labels    map[string]Answer
}

// Serve serves until the process receives SIGTERM or SIGINT.
func Serve(listen string, logger log.Logger) error {
	s := &plainService{ledger: []LedgerLine{}, labels: map[string]Answer{}}
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.handleCall)
	mux.HandleFunc("GET /control/ledger", web.GetHandler(func() (ledger []LedgerLine) {
		s.WithLock(func() { ledger = slices.Clone(s.ledger) })
		return ledger
	}))
	mux.HandleFunc("POST /control/behaviour", web.SetHandler(func(b Behaviour) {
		s.WithLock(func() { s.behaviour = b })
	}))
	return web.Serve(listen, &http.Server{Handler: mux}, logger)
}

func (s *plainService) handleCall(w http.ResponseWriter, r *http.Request) {
	web.JSONHandler(func(r *http.Request, body []byte) (Answer, error) {
		index, behaviour := s.recordStart(r, body)
		time.Sleep(web.Millis(behaviour.DelayMS))
		answer := s.execute(index, r, body)
		switch {
		case behaviour.CloseAfterRead:
			panic(http.ErrAbortHandler) // The call was executed, but its response is lost.
		case behaviour.RawAnswer != "":
			answerRaw(w, behaviour.RawAnswer)
		case behaviour.Redirect:
			w.Header().Set("Location", "/redirected"+r.URL.Path)
			return answer, web.Refusal{Status: http.StatusTemporaryRedirect, Body: answer}
		}
		return answer, nil
	})(w, r)
}

// answerRaw writes a text in place of a response, and ends the handler.
func answerRaw(w http.ResponseWriter, text string) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}
	panic(http.ErrAbortHandler)
}

// recordStart adds the call to the ledger before anything else can happen to it.
func (s *plainService) recordStart(r *http.Request, body []byte) (index int, behaviour Behaviour) {
	sum := sha256.Sum256(body)
	line := LedgerLine{
		Method:  r.Method,
		Path:    r.URL.Path,
		ID:      r.Header.Get("X-Request-Id"),
		Key:     r.Header.Get("X-Call"),
		Body:    hex.EncodeToString(sum[:]),
		BeginMS: web.NowMS(),
	}
	s.WithLock(func() {
		index, behaviour = len(s.ledger), s.behaviour
		line.Number = index + 1
		s.ledger = append(s.ledger, line)
	})
	return index, behaviour
}

// execute carries out the call: a push changes a label, any other call looks one up.
func (s *plainService) execute(index int, r *http.Request, body []byte) (answer Answer) {
	push := Answer{Label: strings.TrimPrefix(r.URL.Path, "/labels/")}
	isPush := r.URL.Path == "/push" && json.Unmarshal(body, &push) == nil
	s.WithLock(func() {
		s.ledger[index].EndMS = web.NowMS()
		if isPush {
			push.Pushes = s.labels[push.Label].Pushes + 1
			s.labels[push.Label] = push
		}
		answer = s.labels[push.Label]
	})
	answer.Label, answer.Number = push.Label, index+1
	return answer
}
