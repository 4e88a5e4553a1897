package streamer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strconv"

	"github.com/heathervane/heathervane/entry/connection/carrier"
)

const (
	// maxOutOfOrder is the maximum number of tokens buffered while an earlier one
	// is missing. Engines send tens of tokens per second, so a full buffer means
	// seconds of waiting: the missing token was lost, and resuming is faster.
	maxOutOfOrder = 64
	// maxLineSize is the maximum length of a line in an engine's stream, in bytes.
	maxLineSize = 64 << 10
)

// ErrInterrupted reports a stream that ended before the response was complete. The
// stream can be resumed.
var ErrInterrupted = Error.New("stream interrupted")

// A Token is one token of a response.
type Token struct {
	// Number counts from 1.
	Number uint64
	// Text is the JSON string that the engine sent. It is not decoded, because it
	// is sent to the caller as JSON again.
	Text json.RawMessage
}

// A Summary holds the token counts and the finish reason that an engine sends at
// the end of a complete response.
type Summary struct {
	Tokens uint64 `json:"tokens"`
	Prompt int    `json:"prompt"`
	Cached int    `json:"cached"`
	Reason string `json:"reason"`
}

// A Stream is the streamed response to one job.
type Stream struct {
	// Boot is the engine's boot number.
	Boot uint64

	streamer      *Streamer
	address       string
	id            string
	exchange      *carrier.Exchange
	reader        *bufio.Reader
	lastDelivered uint64
	outOfOrder    map[uint64]json.RawMessage
	summary       *Summary
}

type event struct {
	kind string
	id   uint64
	data []byte
}

func newStream(s *Streamer, address, id string, x *carrier.Exchange) *Stream {
	t := &Stream{streamer: s, address: address, id: id, outOfOrder: make(map[uint64]json.RawMessage)}
	t.attach(x)
	return t
}

func (t *Stream) attach(x *carrier.Exchange) {
	t.exchange = x
	t.Boot = parseBoot(x)
	if t.reader == nil {
		t.reader = bufio.NewReaderSize(x.Body, 4<<10)
		return
	}
	t.reader.Reset(x.Body)
}

// Next returns the next token, whose text is valid until the next call. The error is
// io.EOF after the last token of a complete response, and ErrInterrupted if the stream
// ended or broke before that.
func (t *Stream) Next() (Token, error) {
	for {
		if text, ok := t.outOfOrder[t.lastDelivered+1]; ok {
			delete(t.outOfOrder, t.lastDelivered+1)
			t.lastDelivered++
			return Token{Number: t.lastDelivered, Text: text}, nil
		}
		if t.summary != nil && t.lastDelivered == t.summary.Tokens {
			return Token{}, io.EOF
		}
		e, err := t.readEvent()
		if err != nil {
			return Token{}, err
		}
		token, ok, err := t.handleEvent(e)
		if err != nil || ok {
			return token, err
		}
	}
}

// handleEvent processes an event, and returns its token if that is the next one in
// order. After a resume, tokens may be duplicated or out of order; a caller that
// received a token twice would have a wrong response.
func (t *Stream) handleEvent(e event) (Token, bool, error) {
	if e.kind == "done" {
		var summary Summary
		if err := json.Unmarshal(e.data, &summary); err != nil {
			return Token{}, false, ErrInterrupted
		}
		t.summary = &summary
		return Token{}, false, nil
	}
	if e.kind != "" || e.id <= t.lastDelivered {
		return Token{}, false, nil
	}
	text, err := extractText(e.data)
	if err != nil {
		return Token{}, false, ErrInterrupted
	}
	if e.id == t.lastDelivered+1 {
		t.lastDelivered++
		return Token{Number: t.lastDelivered, Text: text}, true, nil
	}
	if len(t.outOfOrder) >= maxOutOfOrder {
		return Token{}, false, ErrInterrupted
	}
	t.outOfOrder[e.id] = bytes.Clone(text)
	return Token{}, false, nil
}

// extractText returns the JSON string in {"text":"…"} without decoding it.
func extractText(data []byte) (json.RawMessage, error) {
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

// readEvent reads the next server-sent event.
func (t *Stream) readEvent() (event, error) {
	var e event
	seen := false
	for {
		line, err := t.readLine()
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
			// The value must be copied: the reader reuses its buffer for the next line.
			e.data = append(e.data, value...)
			seen = true
		}
	}
}

func (t *Stream) readLine() ([]byte, error) {
	line, err := t.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = t.readLongLine(line)
	}
	if err != nil {
		return nil, ErrInterrupted
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (t *Stream) readLongLine(prefix []byte) ([]byte, error) {
	line := bytes.Clone(prefix)
	for len(line) < maxLineSize {
		more, err := t.reader.ReadSlice('\n')
		line = append(line, more...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
	return nil, ErrInterrupted
}

// Resume reconnects after ErrInterrupted. It returns ErrGone if the engine no longer
// has the stream, for example after a restart.
func (t *Stream) Resume(ctx context.Context) error {
	t.exchange.Close()
	previousBoot := t.Boot
	x, err := t.streamer.resume(ctx, t.address, t.id, t.lastDelivered)
	if err != nil {
		return err
	}
	t.summary = nil
	clear(t.outOfOrder)
	t.attach(x)
	if t.Boot != previousBoot {
		// Another process at the same address cannot have this stream; what it
		// sends belongs to another caller.
		return ErrGone
	}
	return nil
}

// LastDelivered returns the number of the last token that Next returned.
func (t *Stream) LastDelivered() uint64 { return t.lastDelivered }

// Summary returns what the engine sent at the end of the response. It is nil before
// Next has returned io.EOF.
func (t *Stream) Summary() *Summary { return t.summary }

// Buffered reports whether more of the stream has been received already, so that
// Next need not wait for the network.
func (t *Stream) Buffered() bool { return t.reader.Buffered() > 0 }

// Close closes the connection. It does not cancel the stream on the engine.
func (t *Stream) Close() { t.exchange.Close() }
