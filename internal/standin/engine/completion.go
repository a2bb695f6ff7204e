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

// completionRequest is the body of both completion endpoints.
type completionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	Seed      int64     `json:"seed"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// message is a chat message.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// prompt returns the text that determines the answer, with one chat message per line.
func (r *completionRequest) prompt() string {
	text := r.Prompt
	for _, m := range r.Messages {
		text += m.Role + ": " + m.Content + "\n"
	}
	return text
}

// completion is an answer, or one chunk of a streamed answer.
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

func (e *engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	request := completionRequest{MaxTokens: 16}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		web.Respond(w, nil, web.Refuse(http.StatusBadRequest, err.Error()))
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		id = rand.Text()
	}
	j := e.startJob(id, request)
	switch {
	case j == nil:
		web.Respond(w, nil, web.Refuse(http.StatusServiceUnavailable, outcomeRefused))
	case request.Stream:
		j.writeStream(w, r)
	default:
		j.writeWhole(w)
	}
}

// writeWhole sends the whole answer once all tokens are generated.
func (j *job) writeWhole(w http.ResponseWriter) {
	<-j.ended
	generated, outcome := j.progress()
	if outcome != outcomeWhole {
		web.Respond(w, nil, web.Refuse(http.StatusInternalServerError, outcome))
		return
	}
	web.Respond(w, j.completion(CompletionText(j.request.prompt(), j.request.Seed, generated), "length"), nil)
}

// writeStream sends each token as it is generated. If the request fails, the connection is closed
// without the final [DONE] event.
func (j *job) writeStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	sent := 0
	for outcome := ""; outcome == ""; {
		_ = http.NewResponseController(w).Flush()
		generated := sent
		err := j.WaitUntil(r.Context(), func() bool {
			generated, outcome = j.generated, j.outcome
			return generated > sent || outcome != ""
		})
		if err != nil || outcome != "" && outcome != outcomeWhole {
			panic(http.ErrAbortHandler)
		}
		for ; sent < generated; sent++ {
			writeEvent(w, j.completion(CompletionToken(j.request.prompt(), j.request.Seed, sent), ""))
		}
	}
	writeEvent(w, j.completion("", "length"))
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func writeEvent(w http.ResponseWriter, c completion) {
	data, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

// completion builds the object that was requested: text or chat, a whole answer or a chunk.
func (j *job) completion(text, finish string) completion {
	c := completion{ID: j.id, Object: "text_completion", Model: j.request.Model}
	first := choice{Text: text, FinishReason: finish}
	content := &message{"assistant", text}
	switch chat := len(j.request.Messages) > 0; {
	case chat && j.request.Stream:
		c.Object, first.Delta = "chat.completion.chunk", content
	case chat:
		c.Object, first.Message = "chat.completion", content
	}
	c.Choices = []choice{first}
	return c
}

// vocabulary holds the tokens. Some contain multi-byte characters, so that tests notice a cut
// inside one.
var vocabulary = strings.Fields("fresh Käse offer today 50% “half” price ¼ pound naïve tag store " +
	"week perch fry Friday €2.49 only while it lasts now and aisle")

// CompletionToken returns the i-th token, counted from 0, of the answer to a prompt and a seed.
func CompletionToken(prompt string, seed int64, i int) string {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%d %d %s %d", seed, i, prompt, i)
	return " " + vocabulary[hash.Sum64()>>32%uint64(len(vocabulary))]
}

// CompletionText returns the whole answer to a prompt and a seed.
func CompletionText(prompt string, seed int64, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(CompletionToken(prompt, seed, i))
	}
	return text.String()
}
