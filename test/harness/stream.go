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

// Prompt is a completion request of a caller.
type Prompt struct {
	Text   string
	Seed   int64
	Tokens int
	Header map[string]string
}

// Want returns the text that the engine generates for the prompt.
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

// Streamed is what a caller has received of a streamed answer.
type Streamed struct {
	Text   string
	LastID string
	// Events counts the events with text.
	Events int
	// Whole is true once the closing marker has been received.
	Whole bool
	// Refused is the answer received instead of a stream, or the error event in the stream.
	Refused *Reply
}

// chunk is the part of a completion or completion chunk that a caller uses.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// Complete requests a completion as one answer and returns its text.
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

// Stream requests a streamed completion, or resumes one after got.LastID. It adds to got until the
// stream ends, and calls onEvent, if not nil, after each event.
func (c *Caller) Stream(ctx context.Context, address string, p Prompt, got *Streamed, onEvent func()) error {
	got.Refused = nil
	response, err := c.Send(ctx, address, p.request(true, got.LastID))
	if err != nil {
		return err
	}
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		reply, err := readReply(response)
		got.Refused = &reply
		return err
	}
	defer response.Body.Close()
	events := bufio.NewReader(response.Body)
	for {
		event, err := readEvent(events)
		if err != nil {
			return err
		}
		if done, err := got.add(event); done || err != nil {
			return err
		}
		if onEvent != nil {
			onEvent()
		}
	}
}

// StreamWithRetry streams a completion. It resumes at the next address whenever a stream ends
// without its closing marker, until the answer is complete or an entry's refusal is final.
func (c *Caller) StreamWithRetry(ctx context.Context, addresses []string, p Prompt, onEvent func()) (Streamed, error) {
	var got Streamed
	var err error
	for attempt := range maxAttempts {
		err = c.Stream(ctx, addresses[attempt%len(addresses)], p, &got, onEvent)
		if got.Whole || got.Refused != nil && !retryable(got.Refused) || ctx.Err() != nil {
			return got, err
		}
		if got.Refused != nil {
			err = errors.Errorf("%d %s %s", got.Refused.Code, got.Refused.Name, got.Refused.Message)
		}
		waitBackoff(ctx, got.Refused)
	}
	return got, wrap(err, "no attempts left")
}

// sseEvent is a server-sent event.
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

// add adds one event; done is true if it is the last one.
func (s *Streamed) add(event sseEvent) (done bool, err error) {
	if event.id != "" {
		s.LastID = event.id
	}
	if event.data == "[DONE]" {
		s.Whole = true
		return true, nil
	}
	var parsed refusal
	if json.Unmarshal([]byte(event.data), &parsed) == nil && parsed.Error.Code != 0 {
		s.Refused = &Reply{Code: parsed.Error.Code, Name: parsed.Error.Name, Message: parsed.Error.Message, Ran: parsed.Error.Ran}
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
