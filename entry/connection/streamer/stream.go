package streamer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
)

const (
	// mostAhead bounds the tokens held back while an earlier one is missing.
	// An engine sends tens of tokens a second, so that this many stand for
	// seconds of waiting: the missing one was lost, and resuming is quicker.
	mostAhead = 64
	// lineSize is the longest line of an engine's stream, in bytes.
	lineSize = 64 << 10
)

// ErrInterrupted is a stream that ended before its answer did; it can be resumed.
var ErrInterrupted = Error.New("cut before its end")

// A Token is one token of an answer.
type Token struct {
	// Number counts from 1.
	Number uint64
	// Text is a JSON string, as the engine sent it: it goes to the caller
	// inside JSON again, and decoding it in between would be for nothing.
	Text json.RawMessage
}

// An Summary is what an engine says at the end of a whole answer.
type Summary struct {
	Tokens uint64 `json:"tokens"`
	Prompt int    `json:"prompt"`
	Cached int    `json:"cached"`
	Reason string `json:"reason"`
}

// A Stream is the answer to one job.
type Stream struct {
	// Boot is the engine's boot number.
	Boot uint64

	streamer *Streamer
	address  string
	id       string
	body     io.ReadCloser
	lines    *bufio.Reader
	last     uint64
	ahead    map[uint64]json.RawMessage
	end      *Summary
}

type event struct {
	kind string
	id   uint64
	data []byte
}

func newStream(s *Streamer, address, id string, answer *http.Response) *Stream {
	t := &Stream{streamer: s, address: address, id: id, ahead: make(map[uint64]json.RawMessage)}
	t.attach(answer)
	return t
}

func (t *Stream) attach(answer *http.Response) {
	t.body = answer.Body
	t.Boot = boot(answer)
	if t.lines == nil {
		t.lines = bufio.NewReaderSize(answer.Body, 4<<10)
		return
	}
	t.lines.Reset(answer.Body)
}

// Next returns the next token. Its text is good until the call after. The
// error is io.EOF after the last token of a whole answer, and ErrCut where the
// stream ended or broke before that.
func (t *Stream) Next() (Token, error) {
	for {
		if text, ok := t.ahead[t.last+1]; ok {
			delete(t.ahead, t.last+1)
			t.last++
			return Token{Number: t.last, Text: text}, nil
		}
		if t.end != nil && t.last == t.end.Tokens {
			return Token{}, io.EOF
		}
		e, err := t.read()
		if err != nil {
			return Token{}, err
		}
		token, ok, err := t.take(e)
		if err != nil || ok {
			return token, err
		}
	}
}

// take sorts an event in. An answer may come doubled or out of order after a
// resume, and a caller who saw a token twice would have a wrong answer.
func (t *Stream) take(e event) (Token, bool, error) {
	if e.kind == "done" {
		var end Summary
		if err := json.Unmarshal(e.data, &end); err != nil {
			return Token{}, false, ErrInterrupted
		}
		t.end = &end
		return Token{}, false, nil
	}
	if e.kind != "" || e.id <= t.last {
		return Token{}, false, nil
	}
	text, err := tokenText(e.data)
	if err != nil {
		return Token{}, false, ErrInterrupted
	}
	if e.id == t.last+1 {
		t.last++
		return Token{Number: t.last, Text: text}, true, nil
	}
	if len(t.ahead) >= mostAhead {
		return Token{}, false, ErrInterrupted
	}
	t.ahead[e.id] = bytes.Clone(text)
	return Token{}, false, nil
}

// tokenText takes the JSON string out of {"text":"…"} without decoding it.
func tokenText(data []byte) (json.RawMessage, error) {
	const head, tail = `{"text":`, '}'
	if !bytes.HasPrefix(data, []byte(head)) || data[len(data)-1] != tail {
		var v struct {
			Text json.RawMessage `json:"text"`
		}
		err := json.Unmarshal(data, &v)
		return v.Text, err
	}
	text := data[len(head) : len(data)-1]
	if len(text) < 2 || text[0] != '"' || !json.Valid(text) {
		return nil, ErrInterrupted
	}
	return text, nil
}

// read reads one event of the stream.
func (t *Stream) read() (event, error) {
	var e event
	seen := false
	for {
		line, err := t.line()
		if err != nil {
			return e, err
		}
		if len(line) == 0 {
			if seen {
				return e, nil
			}
			continue
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 {
			continue
		}
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			e.id, err = strconv.ParseUint(string(value), 10, 64)
			if err != nil {
				return e, ErrInterrupted
			}
		case "event":
			e.kind = string(value)
		case "data":
			// The reader's buffer is used again for the next line.
			e.data = append(e.data, value...)
			seen = true
		}
	}
}

func (t *Stream) line() ([]byte, error) {
	line, err := t.lines.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = t.long(line)
	}
	if err != nil {
		return nil, ErrInterrupted
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (t *Stream) long(start []byte) ([]byte, error) {
	line := bytes.Clone(start)
	for len(line) < lineSize {
		more, err := t.lines.ReadSlice('\n')
		line = append(line, more...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
	return nil, ErrInterrupted
}

// Resume connects again after ErrCut. It returns ErrGone where the engine has
// lost the stream, such as after its death.
func (t *Stream) Resume(ctx context.Context) error {
	t.body.Close()
	was := t.Boot
	answer, err := t.streamer.resume(ctx, t.address, t.id, t.last) //nolint:bodyclose // the stream closes it
	if err != nil {
		return err
	}
	t.end = nil
	clear(t.ahead)
	t.attach(answer)
	if t.Boot != was {
		// Another process under the same address cannot have this stream:
		// what it would send belongs to somebody else.
		return ErrGone
	}
	return nil
}

// Last is the number of the last token delivered.
func (t *Stream) Last() uint64 { return t.last }

// Summary is what the engine said at the end; nil before io.EOF.
func (t *Stream) Summary() *Summary { return t.end }

// Buffered tells whether more of the stream has come already, so that Next
// will not wait.
func (t *Stream) Buffered() bool { return t.lines.Buffered() > 0 }

// Close ends the connection. It does not cancel the stream at the engine.
func (t *Stream) Close() { t.body.Close() }
