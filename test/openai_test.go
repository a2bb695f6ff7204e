package test

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"github.com/apricothub/apricothub/test/harness"
)

// A customer's program uses the usual OpenAI client library and knows only an address and a key.
// Whole and streamed completions must work as with any other server; ids, comments and the end
// marker of a stream must not disturb it; and a refusal must appear as the library's own error with
// its status.
func TestOpenAIClientLibrary(t *testing.T) {
	t.Parallel()
	c := startCluster(t, harness.Spec{Entries: 1, Engines: 1})
	client := openai.NewClient(
		option.WithBaseURL("http://"+c.Entries[0].Public+"/v1/"),
		option.WithAPIKey(harness.Key),
		option.WithMaxRetries(0),
	)
	params := openai.CompletionNewParams{
		Model:     harness.Model,
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("the usual client")},
		MaxTokens: openai.Int(20),
	}
	whole, err := client.Completions.New(t.Context(), params)
	if err != nil {
		t.Fatal(err)
	}
	want := whole.Choices[0].Text
	if want == "" {
		t.Fatal("an empty completion")
	}
	stream := client.Completions.NewStreaming(t.Context(), params)
	var got strings.Builder
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			got.WriteString(choice.Text)
		}
	}
	if err := stream.Err(); err != nil || got.String() != want {
		t.Errorf("streamed %q, whole %q, %v", got.String(), want, err)
	}
	chat, err := client.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{
		Model:     harness.Model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
		MaxTokens: openai.Int(5),
	})
	if err != nil || chat.Choices[0].Message.Content == "" {
		t.Errorf("chat: %+v, %v", chat, err)
	}
	params.Model = "no-such-model"
	_, err = client.Completions.New(t.Context(), params)
	var refused *openai.Error
	if !errors.As(err, &refused) || refused.StatusCode != 404 {
		t.Errorf("an unknown model gave %v, want an error with status 404", err)
	}
}
