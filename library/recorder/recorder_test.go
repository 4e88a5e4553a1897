package recorder_test

import (
	"bytes"
	"encoding/hex"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/library/recorder"
)

type older struct {
	A int            `cbor:"a"`
	M map[string]int `cbor:"m"`
}

type newer struct {
	A int            `cbor:"a"`
	B string         `cbor:"b"`
	M map[string]int `cbor:"m"`
}

func TestRoundTrip(t *testing.T) {
	v := newer{A: 1, B: "two", M: map[string]int{"x": 1, "aa": 2, "b": 3}}
	data, err := recorder.Wrap("thing", v)
	assert.NilError(t, err)
	for range 20 { // map iteration order is random
		again, err := recorder.Wrap("thing", v)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(data, again))
	}
	kind, err := recorder.Kind(data)
	assert.NilError(t, err)
	assert.Equal(t, kind, "thing")
	got, err := recorder.Unwrap[newer](data)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, v)
	less, err := recorder.Unwrap[older](data)
	assert.NilError(t, err)
	assert.DeepEqual(t, less, older{A: 1, M: v.M})
}

func TestRefuses(t *testing.T) {
	tests := []struct{ name, hex string }{
		{"nothing", ""},
		{"double key", "83016178a2616101616102"},
		{"indefinite length", "83016178bfff"},
		{"tag", "83016178a16161c101"},
		{"nesting", "83016178a1617a" + strings.Repeat("81", 40) + "01"},
		{"announced length", "83016178a1617a9b00000000ffffffff"},
		{"trailing bytes", "83016178a000"},
		{"short", "820161"},
		{"empty kind", "830160a0"},
		{"long kind", "83017841" + strings.Repeat("61", 65) + "a0"},
		{"invalid UTF-8", "830161ffa0"},
		{"type", "83016178a1616161"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			data, err := hex.DecodeString(test.hex)
			assert.NilError(t, err)
			_, err = recorder.Unwrap[older](data)
			assert.Assert(t, recorder.ErrDecode.Has(err), "%v", err)
		})
	}
	_, err := recorder.Wrap("", older{})
	assert.Assert(t, recorder.ErrEncode.Has(err))
}

func TestOtherVersion(t *testing.T) {
	_, err := recorder.Kind([]byte{0x83, 0x02, 0x61, 'x', 0xa0})
	assert.Assert(t, recorder.ErrVersion.Has(err), "%v", err)
}

func FuzzUnwrap(f *testing.F) {
	data, err := recorder.Wrap("thing", newer{A: 1, M: map[string]int{"x": 1}})
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		kind, err := recorder.Kind(data)
		if err != nil {
			return
		}
		v, err := recorder.Unwrap[newer](data)
		if err != nil {
			return
		}
		again, err := recorder.Wrap(kind, v)
		assert.NilError(t, err)
		same, err := recorder.Unwrap[newer](again)
		assert.NilError(t, err)
		assert.DeepEqual(t, same, v)
	})
}
