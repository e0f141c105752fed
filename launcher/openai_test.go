package launcher_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/citronpier/citronpier/examples"
	"github.com/citronpier/citronpier/launcher"
	"github.com/citronpier/citronpier/standin"
)

const model = "timer-7b"

// startFleet starts three hosts, three engines and the service timer, waits until
// the hosts are ready and closes the fleet when the test ends.
func startFleet(t *testing.T) *launcher.Fleet {
	t.Helper()
	f, err := launcher.Start(launcher.Config{
		Network: launcher.Loopback(), DataCentres: []string{"kochi", "thrissur"}, Hosts: 3, Engines: 3,
		Engine: standin.EngineConfig{Slots: 4, Step: time.Millisecond, CacheTokens: 100_000},
		Model:  model, Services: []string{"timer"}, Rules: examples.Demo,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if err := f.Ready(ctx); err != nil {
		t.Fatal(err)
	}
	return f
}

// openaiClient returns an unmodified OpenAI client of the fleet's first host.
func openaiClient(f *launcher.Fleet, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+f.Hosts[0].Caller+"/v1"), option.WithAPIKey(key))
}

func userPrompt(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

// The unmodified OpenAI client completes a chat, streams a chat completion and
// lists the models.
func TestStockClient(t *testing.T) {
	f := startFleet(t)
	client := openaiClient(f, examples.DeepamKey)
	const text = "Why does the board at Vytilla stay dark?"
	want := standin.Answer("user"+text, 1024)

	t.Run("plain", func(t *testing.T) {
		got, err := client.Chat.Completions.New(t.Context(), userPrompt(text))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got.Choices[0].Message.Content); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff("stop", got.Choices[0].FinishReason); diff != "" {
			t.Errorf("finish reason (-want +got):\n%s", diff)
		}
	})
	t.Run("streamed", func(t *testing.T) {
		stream := client.Chat.Completions.NewStreaming(t.Context(), userPrompt(text))
		var got openai.ChatCompletionAccumulator
		for stream.Next() {
			if !got.AddChunk(stream.Current()) {
				t.Fatal("the accumulator rejected a chunk: it belongs to another completion")
			}
		}
		if err := stream.Err(); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got.Choices[0].Message.Content); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
	})
	t.Run("models", func(t *testing.T) {
		got, err := client.Models.List(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(model, got.Data[0].ID); diff != "" {
			t.Errorf("model (-want +got):\n%s", diff)
		}
	})
}

// The unmodified OpenAI client decodes each refusal as an API error with the
// right HTTP status and error type.
func TestStockClientErrors(t *testing.T) {
	f := startFleet(t)
	for _, c := range []struct {
		name      string
		key       string
		params    openai.ChatCompletionNewParams
		status    int
		errorType string
	}{
		{"wrong key", "nobody", userPrompt("a"), 401, "key"},
		{"unknown model", examples.DeepamKey, openai.ChatCompletionNewParams{
			Model: "no-such", Messages: userPrompt("a").Messages,
		}, 404, "model"},
		{"over budget", examples.DeepamKey, openai.ChatCompletionNewParams{
			Model: model, Messages: userPrompt("a").Messages, MaxTokens: openai.Int(100_000),
		}, 402, "budget"},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := openaiClient(f, c.key)
			_, err := client.Chat.Completions.New(t.Context(), c.params)
			var got *openai.Error
			if !errors.As(err, &got) {
				t.Fatalf("got error %v, want an API error", err)
			}
			if diff := cmp.Diff(c.status, got.StatusCode); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.errorType, got.Type); diff != "" {
				t.Errorf("type (-want +got):\n%s", diff)
			}
		})
	}
	// A chat completion that names no program opens a program for this single
	// call. After the refusals above, no host may have a program left.
	for _, h := range f.Hosts {
		if diff := cmp.Diff(0, h.Node.Programs()); diff != "" {
			t.Errorf("programs on %s (-want +got):\n%s", h.ID, diff)
		}
	}
}
