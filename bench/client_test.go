package main_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/presenter"
	"github.com/heathervane/heathervane/bench/verifier"
)

// The ordinary client library of the OpenAI format asks many questions at once
// through all VMs. Each caller gets the whole answer to their own question, as
// the engine gave it, as a stream and in one piece.
func TestOrdinaryClientGetsItsOwnAnswers(t *testing.T) {
	b := start(t)
	var clients []openai.Client
	for _, vm := range b.VMs {
		clients = append(clients, openai.NewClient(
			option.WithBaseURL("http://"+vm.Line.Callers+"/v1"), option.WithAPIKey(b.token()), option.WithMaxRetries(0)))
	}
	models, err := clients[0].Models.List(b.ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(models.Data), 1)
	assert.Equal(t, models.Data[0].ID, b.Size.Model)
	const questions, output = 60, 24
	group, ctx := errgroup.WithContext(b.ctx)
	group.SetLimit(24)
	for i := range questions {
		group.Go(func() error {
			client := clients[i%len(clients)]
			prompt := verifier.Prompt(fmt.Sprintf("question %d", i), 1000+i)
			params := openai.ChatCompletionNewParams{
				Model:     b.Size.Model,
				Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
				MaxTokens: openai.Int(output),
			}
			if i%4 == 0 {
				c, err := client.Chat.Completions.New(ctx, params)
				if err != nil {
					return err
				}
				return same(c.Choices[0].Message.Content, prompt, output)
			}
			stream := client.Chat.Completions.NewStreaming(ctx, params)
			defer stream.Close()
			var whole openai.ChatCompletionAccumulator
			for stream.Next() {
				if !whole.AddChunk(stream.Current()) {
					return fmt.Errorf("a chunk does not belong to the answer before it")
				}
			}
			if err := stream.Err(); err != nil {
				return err
			}
			return same(whole.Choices[0].Message.Content, prompt, output)
		})
	}
	assert.NilError(t, group.Wait())
	b.reclaimed()
}

func same(got, prompt string, output int) error {
	if want := verifier.Answer(prompt, output); got != want {
		return fmt.Errorf("got %.60q, not %.60q", got, want)
	}
	return nil
}

// A new operator's first sight of the product: one request of each kind.
func TestDemonstration(t *testing.T) {
	b := start(t)
	assert.NilError(t, presenter.New(b.Fleet, b.caller, io.Discard).Present(b.ctx))
}
