package engine

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"

	"github.com/apricothub/apricothub/internal/standin/web"
)

// completionRequest is the body of both completion interfaces.
type completionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	Seed      int64     `json:"seed"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// prompt is the text that the answer is made from: messages one a line.
func (r *completionRequest) prompt() string {
	text := r.Prompt
	for _, m := range r.Messages {
		text += m.Role + ": " + m.Content + "\n"
	}
	return text
}

// completion is an answer, or one chunk of a streamed one.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

func (e *engine) complete(w http.ResponseWriter, r *http.Request) {
	request := completionRequest{MaxTokens: 16}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		web.Answer(w, nil, web.Refuse(http.StatusBadRequest, err.Error()))
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		id = rand.Text()
	}
	j := e.start(id, request)
	switch {
	case j == nil:
		web.Answer(w, nil, web.Refuse(http.StatusServiceUnavailable, refused))
	case request.Stream:
		j.stream(w, r)
	default:
		j.answer(w)
	}
}

// answer sends the whole text when all tokens are made.
func (j *job) answer(w http.ResponseWriter) {
	<-j.ended
	made, outcome := j.progress()
	if outcome != whole {
		web.Answer(w, nil, web.Refuse(http.StatusInternalServerError, outcome))
		return
	}
	web.Answer(w, j.completion(Text(j.request.prompt(), j.request.Seed, made), "length"), nil)
}

// stream sends each token as it is made. A stream that fails is cut and has no
// closing marker.
func (j *job) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	sent := 0
	for outcome := ""; outcome == ""; {
		_ = http.NewResponseController(w).Flush()
		made := sent
		err := j.Until(r.Context(), func() bool {
			made, outcome = j.made, j.outcome
			return made > sent || outcome != ""
		})
		if err != nil || outcome != "" && outcome != whole {
			panic(http.ErrAbortHandler)
		}
		for ; sent < made; sent++ {
			event(w, j.completion(Token(j.request.prompt(), j.request.Seed, sent), ""))
		}
	}
	event(w, j.completion("", "length"))
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func event(w http.ResponseWriter, c completion) {
	data, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

// completion makes the shape that was asked for: text or chat, whole or a chunk.
func (j *job) completion(text, finish string) completion {
	c := completion{ID: j.id, Object: "text_completion", Model: j.request.Model}
	chosen := choice{Text: text, FinishReason: finish}
	said := &message{"assistant", text}
	switch chat := len(j.request.Messages) > 0; {
	case chat && j.request.Stream:
		c.Object, chosen.Delta = "chat.completion.chunk", said
	case chat:
		c.Object, chosen.Message = "chat.completion", said
	}
	c.Choices = []choice{chosen}
	return c
}

// words are the tokens. Some hold more than one byte a letter, so that a cut in
// the middle of one shows.
var words = strings.Fields("fresh Käse offer today 50% “half” price ¼ pound naïve tag store " +
	"week perch fry Friday €2.49 only while it lasts now and aisle")

// Token returns the i-th token, from 0, of the answer to a prompt and a seed.
func Token(prompt string, seed int64, i int) string {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%d %d %s %d", seed, i, prompt, i)
	return " " + words[hash.Sum64()>>32%uint64(len(words))]
}

// Text returns the whole answer to a prompt and a seed.
func Text(prompt string, seed int64, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(Token(prompt, seed, i))
	}
	return text.String()
}
