// Package decoder decodes TOML into structs and collects every value that
// doesn't fit, each with its location; the TOML library alone stops at the
// first value of a wrong type. It doesn't validate what the values mean; the
// readers of manifests and settings do.
package decoder

import (
	"encoding"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"

	"github.com/heathervane/heathervane/library/finder"
)

// maxQuotedBytes limits how many bytes of the input a finding quotes, because
// the input may be hostile and findings are kept in the audit trail.
const maxQuotedBytes = 60

// Decode decodes TOML of at most limit bytes into the struct that into points
// to, using its toml tags. Fields that the input doesn't set keep their values.
// Keys are case-sensitive. Every value that fits is stored, even if there are
// findings about others.
func Decode(data []byte, into any, limit int) finder.Findings {
	var w structDecoder
	if len(data) > limit {
		w.findings.Addf("line 1", "is %d bytes long, more than the %d allowed", len(data), limit)
		return w.findings
	}
	if line, ok := checkDepth(data); !ok {
		w.findings.Addf(fmt.Sprintf("line %d", line), "nests deeper than %d levels", maxDepth)
		return w.findings
	}
	raw := map[string]any{}
	if _, err := toml.Decode(string(data), &raw); err != nil {
		w.addSyntaxError(err)
		return w.findings
	}
	w.decodeTable("", raw, reflect.ValueOf(into).Elem())
	return w.findings
}

// A Defaulter is a table entry with fields whose defaults are not zero.
// SetDefaults is called before the entry's keys are decoded, so that an
// explicit zero differs from a missing key.
type Defaulter interface {
	SetDefaults()
}

type structDecoder struct {
	findings finder.Findings
}

func (w *structDecoder) addSyntaxError(err error) {
	var p toml.ParseError
	if !errors.As(err, &p) {
		w.findings.Addf("line 1", "%s", Truncate(err.Error()))
		return
	}
	text := p.Message
	if text == "" {
		text = p.Error()
	}
	w.findings.Addf(fmt.Sprintf("line %d", p.Position.Line), "%s", Truncate(text))
}

// decodeTable decodes a TOML table into a struct. It visits the keys in sorted
// order, so that the same input always gives the same findings in the same
// order.
func (w *structDecoder) decodeTable(place string, raw map[string]any, v reflect.Value) {
	fields := taggedFields(v)
	for _, key := range slices.Sorted(maps.Keys(raw)) {
		at := JoinPath(place, key)
		f, ok := fields[key]
		if !ok {
			w.findings.AddHintf(at, strings.ToLower(key), slices.Sorted(maps.Keys(fields)), "unknown key")
			continue
		}
		w.decodeValue(at, raw[key], f)
	}
}

func taggedFields(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value, v.NumField())
	for i := range v.NumField() {
		if tag := v.Type().Field(i).Tag.Get("toml"); tag != "" && tag != "-" {
			fields[tag] = v.Field(i)
		}
	}
	return fields
}

func (w *structDecoder) decodeValue(place string, raw any, v reflect.Value) {
	if t, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		w.decodeText(place, raw, t)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		if m, ok := raw.(map[string]any); ok {
			w.decodeTable(place, m, v)
			return
		}
	case reflect.Map:
		if m, ok := raw.(map[string]any); ok {
			w.decodeMap(place, m, v)
			return
		}
	case reflect.Slice:
		if l, ok := raw.([]any); ok {
			w.decodeSlice(place, l, v)
			return
		}
	case reflect.Int:
		if n, ok := raw.(int64); ok && !v.OverflowInt(n) {
			v.SetInt(n)
			return
		}
	default:
		if r := reflect.ValueOf(raw); r.Kind() == v.Kind() {
			v.Set(r.Convert(v.Type()))
			return
		}
	}
	w.findings.Addf(place, "is %s, not %s", tomlTypeName(raw), expectedType(v))
}

func (w *structDecoder) decodeText(place string, raw any, into encoding.TextUnmarshaler) {
	s, ok := raw.(string)
	if !ok {
		w.findings.Addf(place, "is %s, not a string with a unit", tomlTypeName(raw))
		return
	}
	if err := into.UnmarshalText([]byte(s)); err != nil {
		w.findings.Addf(place, "%s", Truncate(err.Error()))
	}
}

func (w *structDecoder) decodeMap(place string, raw map[string]any, v reflect.Value) {
	m := reflect.MakeMapWithSize(v.Type(), len(raw))
	for _, key := range slices.Sorted(maps.Keys(raw)) {
		e := reflect.New(v.Type().Elem()).Elem()
		if p, ok := e.Addr().Interface().(Defaulter); ok {
			p.SetDefaults()
		}
		w.decodeValue(JoinPath(place, key), raw[key], e)
		m.SetMapIndex(reflect.ValueOf(key), e)
	}
	v.Set(m)
}

func (w *structDecoder) decodeSlice(place string, raw []any, v reflect.Value) {
	l := reflect.MakeSlice(v.Type(), len(raw), len(raw))
	for i, r := range raw {
		w.decodeValue(fmt.Sprintf("%s[%d]", place, i), r, l.Index(i))
	}
	v.Set(l)
}

// JoinPath appends a key to a dotted path. A key that would make the path
// ambiguous is quoted.
func JoinPath(place, key string) string {
	if key == "" || strings.ContainsAny(key, ". \t\r\n\"'") || len(key) > maxQuotedBytes {
		key = fmt.Sprintf("%q", Truncate(key))
	}
	if place == "" {
		return key
	}
	return place + "." + key
}

// Truncate shortens text from an input to the length that a finding may quote.
func Truncate(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "…"
}

func tomlTypeName(raw any) string {
	switch raw.(type) {
	case string:
		return "a string"
	case int64:
		return "an integer"
	case float64:
		return "a float"
	case bool:
		return "a boolean"
	case map[string]any:
		return "a table"
	case []any, []map[string]any:
		return "an array"
	default:
		return "a date"
	}
}

func expectedType(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Struct, reflect.Map:
		return "a table"
	case reflect.Slice:
		return "an array"
	case reflect.Int:
		return "an integer in range"
	case reflect.Bool:
		return "a boolean"
	default:
		return "a string"
	}
}
