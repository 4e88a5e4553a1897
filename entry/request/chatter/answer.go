package chatter

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/heathervane/heathervane/entry/connection/streamer"
	"github.com/heathervane/heathervane/entry/request/refuser"
)

// An answerer writes an answer in one of the format's two forms.
type answerer interface {
	// streams tells whether tokens go out as they come.
	streams() bool
	token(w http.ResponseWriter, t streamer.Token) error
	end(w http.ResponseWriter, e streamer.Summary) error
}

func newAnswerer(j *job, now time.Time) answerer {
	f := frame{id: "chatcmpl-" + j.id, model: j.model, created: now.Unix(), tokens: j.tokens}
	if j.chat.Stream {
		return &chunker{frame: f, usage: j.chat.IncludeUsage}
	}
	return &gatherer{frame: f}
}

// A frame is what all chunks of one answer share.
type frame struct {
	id      string
	model   string
	created int64
	tokens  int
}

type usage struct {
	Prompt     int    `json:"prompt_tokens"`
	Completion uint64 `json:"completion_tokens"`
	Total      uint64 `json:"total_tokens"`
}

func (f frame) usage(e streamer.Summary) usage {
	return usage{Prompt: f.tokens, Completion: e.Tokens, Total: uint64(f.tokens) + e.Tokens}
}

// open appends what each chunk or answer begins with.
func (f frame) open(b []byte, object string) []byte {
	b = append(b, `{"id":"`...)
	b = append(b, f.id...)
	b = append(b, `","object":"`...)
	b = append(b, object...)
	b = append(b, `","created":`...)
	b = strconv.AppendInt(b, f.created, 10)
	b = append(b, `,"model":`...)
	b = strconv.AppendQuote(b, f.model)
	return append(b, `,"choices":`...)
}

// A chunker writes each token as a chunk of its own.
type chunker struct {
	frame
	usage   bool
	started bool
	prefix  []byte
	buffer  []byte
}

func (c *chunker) streams() bool { return true }

func (c *chunker) start(w http.ResponseWriter) error {
	c.started = true
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(refuser.RanHeader, string(refuser.RanYes))
	w.WriteHeader(http.StatusOK)
	c.prefix = c.open([]byte("data: "), "chat.completion.chunk")
	c.buffer = append(c.buffer[:0], c.prefix...)
	c.buffer = append(c.buffer, `[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}`+"\n\n"...)
	_, err := w.Write(c.buffer)
	return err
}

func (c *chunker) token(w http.ResponseWriter, t streamer.Token) error {
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

func (c *chunker) end(w http.ResponseWriter, e streamer.Summary) error {
	if !c.started {
		if err := c.start(w); err != nil {
			return err
		}
	}
	b := c.buffer[:0]
	b = append(b, c.prefix...)
	b = append(b, `[{"index":0,"delta":{},"finish_reason":"`+reason(e)+`"}]}`+"\n\n"...)
	if c.usage {
		counted, err := json.Marshal(c.frame.usage(e))
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

func reason(e streamer.Summary) string {
	if e.Reason == "length" {
		return "length"
	}
	return "stop"
}

// A gatherer keeps the tokens and writes the answer in one piece.
type gatherer struct {
	frame
	text []byte
}

func (g *gatherer) streams() bool { return false }

// token joins JSON strings by taking off the quotes between them.
func (g *gatherer) token(_ http.ResponseWriter, t streamer.Token) error {
	g.text = append(g.text, t.Text[1:len(t.Text)-1]...)
	return nil
}

func (g *gatherer) end(w http.ResponseWriter, e streamer.Summary) error {
	counted, err := json.Marshal(g.usage(e))
	if err != nil {
		return err
	}
	b := g.open(nil, "chat.completion")
	b = append(b, `[{"index":0,"message":{"role":"assistant","content":"`...)
	b = append(b, g.text...)
	b = append(b, `"},"finish_reason":"`+reason(e)+`"}],"usage":`...)
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
