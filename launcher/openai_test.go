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

func fleet(t *testing.T) *launcher.Fleet {
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

func stock(f *launcher.Fleet, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+f.Hosts[0].Caller+"/v1"), option.WithAPIKey(key))
}

func question(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

func TestStockClient(t *testing.T) {
	f := fleet(t)
	client := stock(f, examples.DeepamKey)
	const text = "Why does the board at Vytilla stay dark?"
	want := standin.Answer("user"+text, 1024)

	t.Run("plain", func(t *testing.T) {
		got, err := client.Chat.Completions.New(t.Context(), question(text))
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
		stream := client.Chat.Completions.NewStreaming(t.Context(), question(text))
		var got openai.ChatCompletionAccumulator
		for stream.Next() {
			if !got.AddChunk(stream.Current()) {
				t.Fatal("a chunk belongs to another answer")
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

func TestStockClientErrors(t *testing.T) {
	f := fleet(t)
	for _, c := range []struct {
		name   string
		key    string
		params openai.ChatCompletionNewParams
		status int
		code   string
	}{
		{"wrong key", "nobody", question("a"), 401, "key"},
		{"unknown model", examples.DeepamKey, openai.ChatCompletionNewParams{
			Model: "no-such", Messages: question("a").Messages,
		}, 404, "model"},
		{"over budget", examples.DeepamKey, openai.ChatCompletionNewParams{
			Model: model, Messages: question("a").Messages, MaxTokens: openai.Int(100_000),
		}, 402, "budget"},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := stock(f, c.key)
			_, err := client.Chat.Completions.New(t.Context(), c.params)
			var got *openai.Error
			if !errors.As(err, &got) {
				t.Fatalf("error %v", err)
			}
			if diff := cmp.Diff(c.status, got.StatusCode); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.code, got.Type); diff != "" {
				t.Errorf("type (-want +got):\n%s", diff)
			}
		})
	}
	// A refused program of one call leaves nothing behind.
	for _, h := range f.Hosts {
		if diff := cmp.Diff(0, h.Node.Programs()); diff != "" {
			t.Errorf("programs on %s (-want +got):\n%s", h.ID, diff)
		}
	}
}
