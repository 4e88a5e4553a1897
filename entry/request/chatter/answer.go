package chatter

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/heathervane/heathervane/entry/connection/streamer"
	"github.com/heathervane/heathervane/entry/request/refuser"
)

// An encoder writes a response in one of the two forms of the OpenAI format: as
// a stream of chunks or as a single object.
type encoder interface {
	// streaming reports whether tokens are written as they arrive.
	streaming() bool
	writeToken(w http.ResponseWriter, t streamer.Token) error
	writeEnd(w http.ResponseWriter, e streamer.Summary) error
}

func newEncoder(j *job, now time.Time) encoder {
	m := responseMeta{id: "chatcmpl-" + j.id, model: j.model, created: now.Unix(), promptTokens: j.promptTokens}
	if j.chat.Stream {
		return &streamEncoder{responseMeta: m, usage: j.chat.IncludeUsage}
	}
	return &bufferedEncoder{responseMeta: m}
}

// responseMeta holds the fields that all chunks of a response share.
type responseMeta struct {
	id           string
	model        string
	created      int64
	promptTokens int
}

type usage struct {
	Prompt     int    `json:"prompt_tokens"`
	Completion uint64 `json:"completion_tokens"`
	Total      uint64 `json:"total_tokens"`
}

func (m responseMeta) usage(e streamer.Summary) usage {
	return usage{Prompt: m.promptTokens, Completion: e.Tokens, Total: uint64(m.promptTokens) + e.Tokens}
}

// appendPrefix appends the start of a chunk or of a single response, up to its
// choices.
func (m responseMeta) appendPrefix(b []byte, object string) []byte {
	b = append(b, `{"id":"`...)
	b = append(b, m.id...)
	b = append(b, `","object":"`...)
	b = append(b, object...)
	b = append(b, `","created":`...)
	b = strconv.AppendInt(b, m.created, 10)
	b = append(b, `,"model":`...)
	b = strconv.AppendQuote(b, m.model)
	return append(b, `,"choices":`...)
}

// A streamEncoder writes each token as a separate chunk.
type streamEncoder struct {
	responseMeta
	usage   bool
	started bool
	prefix  []byte
	buffer  []byte
}

func (c *streamEncoder) streaming() bool { return true }

func (c *streamEncoder) start(w http.ResponseWriter) error {
	c.started = true
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(refuser.RanHeader, string(refuser.RanYes))
	w.WriteHeader(http.StatusOK)
	c.prefix = c.appendPrefix([]byte("data: "), "chat.completion.chunk")
	c.buffer = append(c.buffer[:0], c.prefix...)
	c.buffer = append(c.buffer, `[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}`+"\n\n"...)
	_, err := w.Write(c.buffer)
	return err
}

func (c *streamEncoder) writeToken(w http.ResponseWriter, t streamer.Token) error {
	if !c.started {
		if err := c.start(w); err != nil {
			return err
		}
	}
	c.buffer = append(c.buffer[:0], c.prefix...)
	c.buffer = append(c.buffer, `[{"index":0,"delta":{"content":`...)
	c.buffer = append(c.buffer, t.Text...)
	c.buffer = append(c.buffer, `},"finish_reason":null}]}`+"\n\n"...)
	_, err := w.Write(c.buffer)
	return err
}

func (c *streamEncoder) writeEnd(w http.ResponseWriter, e streamer.Summary) error {
	if !c.started {
		if err := c.start(w); err != nil {
			return err
		}
	}
	b := c.buffer[:0]
	b = append(b, c.prefix...)
	b = append(b, `[{"index":0,"delta":{},"finish_reason":"`+finishReason(e)+`"}]}`+"\n\n"...)
	if c.usage {
		counted, err := json.Marshal(c.responseMeta.usage(e))
		if err != nil {
			return err
		}
		b = append(b, c.prefix...)
		b = append(b, `[],"usage":`...)
		b = append(b, counted...)
		b = append(b, "}\n\n"...)
	}
	b = append(b, "data: [DONE]\n\n"...)
	_, err := w.Write(b)
	return err
}

func finishReason(e streamer.Summary) string {
	if e.Reason == "length" {
		return "length"
	}
	return "stop"
}

// A bufferedEncoder collects the tokens and writes the response as a single
// object.
type bufferedEncoder struct {
	responseMeta
	text []byte
}

func (g *bufferedEncoder) streaming() bool { return false }

// writeToken joins tokens, which are JSON strings, by removing the quotes
// between them.
func (g *bufferedEncoder) writeToken(_ http.ResponseWriter, t streamer.Token) error {
	g.text = append(g.text, t.Text[1:len(t.Text)-1]...)
	return nil
}

func (g *bufferedEncoder) writeEnd(w http.ResponseWriter, e streamer.Summary) error {
	counted, err := json.Marshal(g.usage(e))
	if err != nil {
		return err
	}
	b := g.appendPrefix(nil, "chat.completion")
	b = append(b, `[{"index":0,"message":{"role":"assistant","content":"`...)
	b = append(b, g.text...)
	b = append(b, `"},"finish_reason":"`+finishReason(e)+`"}],"usage":`...)
	b = append(b, counted...)
	b = append(b, "}\n"...)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(b)))
	h.Set(refuser.RanHeader, string(refuser.RanYes))
	w.WriteHeader(http.StatusOK)
	_, err = w.Write(b)
	return err
}
