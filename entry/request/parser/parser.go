// Package parser parses chat completion requests in the OpenAI format. It
// rejects what the engines do not support and names the invalid parameter. It
// ignores fields that only affect sampling, as the format allows.
package parser

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/heathervane/heathervane/entry/request/fingerprinter"
	"github.com/heathervane/heathervane/entry/request/refuser"
)

// maxMessages limits the number of messages in a request.
const maxMessages = 100_000

// A ChatRequest is a parsed chat completion request.
type ChatRequest struct {
	Model string
	// Prompt is the text of all messages, as sent to the engine.
	Prompt string
	// Parts identify the messages but the last, which other requests may have as well.
	Parts []fingerprinter.Fingerprint
	// MaxTokens limits the length of the completion; 0 if the caller set no
	// limit.
	MaxTokens int
	// Stream requests the completion as a stream of tokens, IncludeUsage a
	// final chunk with the token counts.
	Stream       bool
	IncludeUsage bool
}

type request struct {
	Model               string         `json:"model"`
	Messages            []message      `json:"messages"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
	MaxTokens           *int           `json:"max_tokens"`
	MaxCompletionTokens *int           `json:"max_completion_tokens"`
	N                   *int           `json:"n"`
	Tools               []any          `json:"tools"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is the text of a message, encoded as a string or as an array of text
// parts.
type content string

type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

var errUnsupportedPart = errors.New("only parts of type text can be read")

// UnmarshalJSON accepts both encodings.
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
			return errUnsupportedPart
		}
		b.WriteString(p.Text)
	}
	*c = content(b.String())
	return nil
}

// Parse parses the body of a request. On failure it returns the refusal to
// send.
func Parse(data []byte) (*ChatRequest, *refuser.Refusal) {
	var q request
	d := json.NewDecoder(bytes.NewReader(data))
	if err := d.Decode(&q); err != nil {
		return nil, decodeRefusal(err)
	}
	if d.More() {
		return nil, refuser.BadRequest("", "bad_json", "more than one JSON value stands in the body, the second at byte %d", d.InputOffset())
	}
	return q.chatRequest()
}

func (q *request) chatRequest() (*ChatRequest, *refuser.Refusal) {
	switch {
	case q.Model == "":
		return nil, refuser.BadRequest("model", "missing", "model is missing")
	case len(q.Messages) == 0:
		return nil, refuser.BadRequest("messages", "missing", "messages is missing or empty")
	case len(q.Messages) > maxMessages:
		return nil, refuser.BadRequest("messages", "too_many", "there are more than %d messages", maxMessages)
	case q.N != nil && *q.N != 1:
		return nil, refuser.BadRequest("n", "unsupported", "only one choice can be asked for")
	case len(q.Tools) > 0:
		return nil, refuser.BadRequest("tools", "unsupported", "tools are not supported")
	}
	maxTokens, refusal := q.maxTokens()
	if refusal != nil {
		return nil, refusal
	}
	prompt, refusal := q.prompt()
	if refusal != nil {
		return nil, refusal
	}
	c := &ChatRequest{Model: q.Model, Prompt: prompt, Parts: q.parts(), MaxTokens: maxTokens, Stream: q.Stream}
	c.IncludeUsage = q.StreamOptions != nil && q.StreamOptions.IncludeUsage
	return c, nil
}

// maxParts bounds the messages that are identified.
const maxParts = 64

func (q *request) parts() (parts []fingerprinter.Fingerprint) {
	for _, m := range q.Messages[:min(maxParts, len(q.Messages)-1)] {
		parts = append(parts, fingerprinter.OfPart(q.Model, m.Role+"\x00"+string(m.Content)))
	}
	return parts
}

func (q *request) maxTokens() (int, *refuser.Refusal) {
	limit, param := q.MaxTokens, "max_tokens"
	if q.MaxCompletionTokens != nil {
		limit, param = q.MaxCompletionTokens, "max_completion_tokens"
	}
	if limit == nil {
		return 0, nil
	}
	if *limit < 1 {
		return 0, refuser.BadRequest(param, "bad_value", "%s must be at least 1", param)
	}
	return *limit, nil
}

func (q *request) prompt() (string, *refuser.Refusal) {
	size := 0
	for i, m := range q.Messages {
		if m.Role == "" {
			param := fmt.Sprintf("messages[%d].role", i)
			return "", refuser.BadRequest(param, "missing", "%s is missing", param)
		}
		size += len(m.Role) + len(m.Content) + len(": \n")
	}
	if len(q.Messages) == 1 && q.Messages[0].Role == "user" {
		// In the common case, a single user message, the text is used as is: it
		// may be long, and is not copied again.
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

func decodeRefusal(err error) *refuser.Refusal {
	var s *json.SyntaxError
	if errors.As(err, &s) {
		return refuser.BadRequest("", "bad_json", "the body is not JSON: %s at byte %d", s, s.Offset)
	}
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return refuser.BadRequest(t.Field, "bad_type", "%s cannot be a %s", t.Field, t.Value)
	}
	if errors.Is(err, errUnsupportedPart) {
		return refuser.BadRequest("messages", "unsupported", "%s", err)
	}
	return refuser.BadRequest("", "bad_json", "the body is not whole JSON")
}
