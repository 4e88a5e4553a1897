package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// A Question is one request for a chat completion, answered as a stream.
type Question struct {
	Model  string
	Prompt string
	// Output is the most tokens to answer with.
	Output int
	// Limit is the time limit to ask for; 0 asks for none.
	Limit time.Duration
}

// An Answer is what a question got.
type Answer struct {
	Way
	// Content is the text that arrived.
	Content string
	// Tokens counts the chunks with content.
	Tokens int
	// Headers, First and End are the times from the sending to the response's
	// headers, its first token and its end.
	Headers, First, End time.Duration
	// Gaps are the times between tokens.
	Gaps []time.Duration
	// Whole says that the answer ended with [DONE] after a finish reason.
	Whole bool
	// Err is what went wrong with the connection; nil on refusals.
	Err error
}

type chatBody struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages"`
	Stream   bool          `json:"stream"`
	Most     int           `json:"max_tokens,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Encode gives the body of a question, so that a load generator can build it
// before its time comes.
func Encode(q Question) ([]byte, error) {
	body, err := json.Marshal(chatBody{
		Model: q.Model, Messages: []chatMessage{{Role: "user", Content: q.Prompt}}, Stream: true, Most: q.Output,
	})
	return body, errs.Wrap(err)
}

// Ask sends a question to a VM's callers' address with a team's token.
func (c *Caller) Ask(ctx context.Context, address, token string, q Question) Answer {
	body, err := Encode(q)
	if err != nil {
		return Answer{Err: err}
	}
	return c.Send(ctx, address, token, body, q.Limit)
}

// Send sends an encoded question.
func (c *Caller) Send(ctx context.Context, address, token string, body []byte, most time.Duration) Answer {
	start := time.Now()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return Answer{Err: errs.Wrap(err)}
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+token)
	if most > 0 {
		r.Header.Set(headerLimit, limit(most))
	}
	response, err := c.client.Do(r)
	if err != nil {
		return Answer{Err: errs.Wrap(err), End: time.Since(start)}
	}
	defer response.Body.Close()
	a := Answer{Way: wayOf(response), Headers: time.Since(start)}
	if response.StatusCode == http.StatusOK {
		a.stream(response.Body, start)
	} else {
		a.refusal(response.Body)
	}
	a.End = time.Since(start)
	return a
}

// mostFailure bounds how much of an error's body is read, in bytes.
const mostFailure = 64 << 10

func (a *Answer) refusal(body io.Reader) {
	var f failure
	data, err := io.ReadAll(io.LimitReader(body, mostFailure))
	if err != nil {
		a.Err = errs.Wrap(err)
		return
	}
	if err := json.Unmarshal(data, &f); err != nil {
		a.Err = errs.New("status %d with a body that is no error of the format: %.200q", a.Status, data)
		return
	}
	a.Code, a.Text = f.Error.Code, f.Error.Message
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Reason *string `json:"finish_reason"`
	} `json:"choices"`
	failure
}

// stream reads server-sent events to their end.
func (a *Answer) stream(body io.Reader, start time.Time) {
	var text strings.Builder
	defer func() { a.Content = text.String() }()
	lines := bufio.NewReader(body)
	finished := false
	last := start
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			a.Err = errs.Wrap(err)
			return
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			a.Whole = finished
			continue
		}
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			a.Err = errs.New("a chunk that is no JSON: %.200q", data)
			return
		}
		if c.Error.Code != "" || c.Error.Message != "" {
			a.Code, a.Text = c.Error.Code, c.Error.Message
		}
		if len(c.Choices) == 0 {
			continue
		}
		finished = finished || c.Choices[0].Reason != nil
		if c.Choices[0].Delta.Content == "" {
			continue
		}
		now := time.Now()
		if a.Tokens == 0 {
			a.First = now.Sub(start)
		} else {
			a.Gaps = append(a.Gaps, now.Sub(last))
		}
		last = now
		a.Tokens++
		text.WriteString(c.Choices[0].Delta.Content)
	}
}
