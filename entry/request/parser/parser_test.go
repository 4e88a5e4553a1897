package parser_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/request/parser"
	"github.com/heathervane/heathervane/entry/request/refuser"
)

func TestParse(t *testing.T) {
	tests := []struct {
		name, body, prompt string
		output             int
	}{
		{"single user message", `{"model":"m","messages":[{"role":"user","content":"hi"}]}`, "hi", 0},
		{"text parts", `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`, "ab", 0},
		{"two messages", `{"model":"m","messages":[{"role":"system","content":"s"},{"role":"user","content":"u"}]}`, "system: s\nuser: u\n", 0},
		{"max_tokens", `{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"u"}]}`, "u", 5},
		{"max_completion_tokens", `{"model":"m","max_completion_tokens":6,"messages":[{"role":"user","content":"u"}]}`, "u", 6},
		{"ignored fields", `{"model":"m","temperature":0.2,"user":"x","messages":[{"role":"user","content":"u"}]}`, "u", 0},
		{"null content", `{"model":"m","messages":[{"role":"user","content":null}]}`, "", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, refusal := parser.Parse([]byte(test.body))
			assert.Assert(t, refusal == nil, "%v", refusal)
			assert.Equal(t, c.Prompt, test.prompt)
			assert.Equal(t, c.MaxTokens, test.output)
		})
	}
}

func TestInvalidInputNamesParameter(t *testing.T) {
	tests := []struct {
		name, body, param, code, text string
	}{
		{"empty", ``, "", "bad_json", "whole JSON"},
		{"truncated", `{"model":"m"`, "", "bad_json", "whole JSON"},
		{"missing colon", `{"model" "m"}`, "", "bad_json", "at byte 10"},
		{"two values", `{"model":"m","messages":[{"role":"user","content":"u"}]} {}`, "", "bad_json", "second"},
		{"wrong type", `{"model":7}`, "model", "bad_type", "number"},
		{"no model", `{"messages":[{"role":"user","content":"u"}]}`, "model", "missing", "model"},
		{"no messages", `{"model":"m"}`, "messages", "missing", "messages"},
		{"no role", `{"model":"m","messages":[{"content":"u"}]}`, "messages[0].role", "missing", "role"},
		{"image part", `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, "messages", "unsupported", "text"},
		{"two choices", `{"model":"m","n":2,"messages":[{"role":"user","content":"u"}]}`, "n", "unsupported", "one choice"},
		{"max_tokens of 0", `{"model":"m","max_tokens":0,"messages":[{"role":"user","content":"u"}]}`, "max_tokens", "bad_value", "at least 1"},
		{"tools", `{"model":"m","tools":[{}],"messages":[{"role":"user","content":"u"}]}`, "tools", "unsupported", "tools"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, refusal := parser.Parse([]byte(test.body))
			assert.Assert(t, refusal != nil)
			assert.Equal(t, refusal.Param, test.param)
			assert.Equal(t, refusal.Code, test.code)
			assert.Equal(t, refusal.Ran, refuser.RanNo)
			assert.Assert(t, strings.Contains(refusal.Message, test.text), refusal.Message)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, refusal := parser.Parse(data)
		assert.Assert(t, (c == nil) != (refusal == nil))
	})
}
