package harness

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/standin/engine"
)

// Prompt is a completion that a caller asks for.
type Prompt struct {
	Text   string
	Seed   int64
	Tokens int
	Header map[string]string
}

// Want is the text that the engine makes for the prompt.
func (p Prompt) Want() string { return engine.CompletionText(p.Text, p.Seed, p.Tokens) }

func (p Prompt) request(stream bool, lastID string) Request {
	body, _ := json.Marshal(map[string]any{
		"model": Model, "prompt": p.Text, "seed": p.Seed, "max_tokens": p.Tokens, "stream": stream,
	})
	r := Request{Method: http.MethodPost, Path: "/v1/completions", Header: map[string]string{}, Body: string(body)}
	for name, value := range p.Header {
		r.Header[name] = value
	}
	if lastID != "" {
		r.Header["Last-Event-ID"] = lastID
	}
	return r
}

// Streamed is what a caller has of a streamed answer.
type Streamed struct {
	Text   string
	LastID string
	// Events counts the events with text.
	Events int
	// Whole is true when the closing marker came.
	Whole bool
	// Refused is the answer in place of a stream, or the error event in it.
	Refused *Reply
}

// chunk is the part of a completion chunk that a caller uses.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// Complete asks for a whole answer.
func (c *Caller) Complete(ctx context.Context, address string, p Prompt) (string, Reply, error) {
	reply, err := c.Do(ctx, address, p.request(false, ""))
	if err != nil || reply.Status != http.StatusOK {
		return "", reply, err
	}
	var answer chunk
	if err := json.Unmarshal(reply.Body, &answer); err != nil || len(answer.Choices) != 1 {
		return "", reply, errors.Errorf("not a completion: %s", trimmed(reply.Body))
	}
	return answer.Choices[0].Text, reply, nil
}

// Stream asks for a streamed answer, or goes on with one after got.LastID. It adds
// to got until the stream ends; each is called after each event.
func (c *Caller) Stream(ctx context.Context, address string, p Prompt, got *Streamed, each func()) error {
	got.Refused = nil
	answer, err := c.Send(ctx, address, p.request(true, got.LastID))
	if err != nil {
		return err
	}
	if !strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream") {
		reply, err := readReply(answer)
		got.Refused = &reply
		return err
	}
	defer answer.Body.Close()
	events := bufio.NewReader(answer.Body)
	for {
		event, err := readEvent(events)
		if err != nil {
			return err
		}
		if done, err := got.take(event); done || err != nil {
			return err
		}
		if each != nil {
			each()
		}
	}
}

// StreamOn streams an answer, going on through the next address whenever a stream
// ends before its closing marker, until it is whole or an entry refuses it for good.
func (c *Caller) StreamOn(ctx context.Context, addresses []string, p Prompt, each func()) (Streamed, error) {
	var got Streamed
	var err error
	for try := range maxTries {
		err = c.Stream(ctx, addresses[try%len(addresses)], p, &got, each)
		if got.Whole || got.Refused != nil && !retryable(got.Refused) || ctx.Err() != nil {
			return got, err
		}
		if got.Refused != nil {
			err = errors.Errorf("%d %s %s", got.Refused.Code, got.Refused.Name, got.Refused.Message)
		}
		waitRetry(ctx, got.Refused)
	}
	return got, wrap(err, "gave up")
}

// sseEvent is one server-sent event.
type sseEvent struct {
	id, name, data string
}

func readEvent(r *bufio.Reader) (sseEvent, error) {
	var event sseEvent
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return event, errors.Wrap(io.ErrUnexpectedEOF, "stream ended without its closing marker")
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" && event.data != "" {
			return event, nil
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "id":
			event.id = value
		case "event":
			event.name = value
		case "data":
			event.data += value
		}
	}
}

// take adds one event; done when it is the last one.
func (s *Streamed) take(event sseEvent) (done bool, err error) {
	if event.id != "" {
		s.LastID = event.id
	}
	if event.data == "[DONE]" {
		s.Whole = true
		return true, nil
	}
	var said refusal
	if json.Unmarshal([]byte(event.data), &said) == nil && said.Error.Code != 0 {
		s.Refused = &Reply{Code: said.Error.Code, Name: said.Error.Name, Message: said.Error.Message, Ran: said.Error.Ran}
		return true, nil
	}
	var c chunk
	if err := json.Unmarshal([]byte(event.data), &c); err != nil || len(c.Choices) != 1 {
		return true, errors.Errorf("not a chunk: %q", event.data)
	}
	s.Text += c.Choices[0].Text
	s.Events++
	return false, nil
}
