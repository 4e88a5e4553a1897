// Package parser reads requests for chat completions in the OpenAI format. It
// takes what the engines can honour and names the place of what it refuses;
// fields that only shape sampling are passed over, as the format allows.
package parser

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/heathervane/heathervane/entry/request/refuser"
)

// mostMessages bounds the messages of one request.
const mostMessages = 100_000

// A ChatRequest is a request for a chat completion.
type ChatRequest struct {
	Model string
	// Prompt is the messages as the one text that engines read.
	Prompt string
	// MaxTokens is the most tokens to answer with; 0 where the caller set none.
	MaxTokens int
	// Stream asks for the answer token by token, Usage for a last chunk that
	// counts them.
	Stream       bool
	IncludeUsage bool
}

type request struct {
	Model    string    `json:"model"`
	Messages []message `json:"messages"`
	Stream   bool      `json:"stream"`
	Options  *options  `json:"stream_options"`
	Most     *int      `json:"max_tokens"`
	MostNew  *int      `json:"max_completion_tokens"`
	N        *int      `json:"n"`
	Tools    []any     `json:"tools"`
}

type options struct {
	Usage bool `json:"include_usage"`
}

type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is a string, or an array of parts of which the texts are taken.
type content string

type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

var errPart = errors.New("only parts of type text can be read")

// UnmarshalJSON reads either form.
func (c *content) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] != '[' {
		return json.Unmarshal(data, (*string)(c))
	}
	var parts []part
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return errPart
		}
		b.WriteString(p.Text)
	}
	*c = content(b.String())
	return nil
}

// Parse reads a body.
func Parse(data []byte) (*ChatRequest, *refuser.Refusal) {
	var q request
	d := json.NewDecoder(bytes.NewReader(data))
	if err := d.Decode(&q); err != nil {
		return nil, syntax(err)
	}
	if d.More() {
		return nil, refuser.BadRequest("", "bad_json", "more than one JSON value stands in the body, the second at byte %d", d.InputOffset())
	}
	return q.chat()
}

func (q *request) chat() (*ChatRequest, *refuser.Refusal) {
	switch {
	case q.Model == "":
		return nil, refuser.BadRequest("model", "missing", "model is missing")
	case len(q.Messages) == 0:
		return nil, refuser.BadRequest("messages", "missing", "messages is missing or empty")
	case len(q.Messages) > mostMessages:
		return nil, refuser.BadRequest("messages", "too_many", "there are more than %d messages", mostMessages)
	case q.N != nil && *q.N != 1:
		return nil, refuser.BadRequest("n", "unsupported", "only one choice can be asked for")
	case len(q.Tools) > 0:
		return nil, refuser.BadRequest("tools", "unsupported", "tools are not supported")
	}
	output, refusal := q.output()
	if refusal != nil {
		return nil, refusal
	}
	prompt, refusal := q.prompt()
	if refusal != nil {
		return nil, refusal
	}
	c := &ChatRequest{Model: q.Model, Prompt: prompt, MaxTokens: output, Stream: q.Stream}
	c.IncludeUsage = q.Options != nil && q.Options.Usage
	return c, nil
}

func (q *request) output() (int, *refuser.Refusal) {
	most, place := q.Most, "max_tokens"
	if q.MostNew != nil {
		most, place = q.MostNew, "max_completion_tokens"
	}
	if most == nil {
		return 0, nil
	}
	if *most < 1 {
		return 0, refuser.BadRequest(place, "bad_value", "%s must be at least 1", place)
	}
	return *most, nil
}

func (q *request) prompt() (string, *refuser.Refusal) {
	size := 0
	for i, m := range q.Messages {
		if m.Role == "" {
			place := fmt.Sprintf("messages[%d].role", i)
			return "", refuser.BadRequest(place, "missing", "%s is missing", place)
		}
		size += len(m.Role) + len(m.Content) + len(": \n")
	}
	if len(q.Messages) == 1 && q.Messages[0].Role == "user" {
		// The common case of one question keeps its text as it stands, and a
		// long document is not copied once more.
		return string(q.Messages[0].Content), nil
	}
	var b strings.Builder
	b.Grow(size)
	for _, m := range q.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(string(m.Content))
		b.WriteByte('\n')
	}
	return b.String(), nil
}

func syntax(err error) *refuser.Refusal {
	var s *json.SyntaxError
	if errors.As(err, &s) {
		return refuser.BadRequest("", "bad_json", "the body is not JSON: %s at byte %d", s, s.Offset)
	}
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return refuser.BadRequest(t.Field, "bad_type", "%s cannot be a %s", t.Field, t.Value)
	}
	if errors.Is(err, errPart) {
		return refuser.BadRequest("messages", "unsupported", "%s", err)
	}
	return refuser.BadRequest("", "bad_json", "the body is not whole JSON")
}
