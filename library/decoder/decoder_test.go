package decoder_test

import (
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/library/decoder"
)

type inner struct {
	Number int      `toml:"number"`
	Words  []string `toml:"words"`
}

// SetDefaults gives the number a default other than zero.
func (i *inner) SetDefaults() { i.Number = 7 }

type outer struct {
	Name  string           `toml:"name"`
	Yes   bool             `toml:"yes"`
	Table map[string]inner `toml:"table"`
	Other string           // has no tag, so it is not decoded
}

func TestDecode(t *testing.T) {
	o := outer{Name: "kept"}
	found := decoder.Decode([]byte("yes = true\n[table.a]\nwords = ['x', 'y']\n[table.b]\nnumber = 0"), &o, 1000)
	assert.NilError(t, found.Err())
	assert.DeepEqual(t, o, outer{Name: "kept", Yes: true, Table: map[string]inner{
		"a": {Number: 7, Words: []string{"x", "y"}}, "b": {},
	}})
	for text, want := range map[string]string{
		"name = 5":                       "name: is an integer, not a string",
		"yes = 'x'":                      "yes: is a string, not a boolean",
		"name = 1979-05-27":              "name: is a date, not a string",
		"table = 5":                      "table: is an integer, not a table",
		"[[table]]":                      "table: is an array, not a table",
		"[table.a]\nnumber = 1.5":        "table.a.number: is a float, not an integer in range",
		"[table.a]\nwords = ['x', 5]":    "table.a.words[1]: is an integer, not a string",
		"[table.a]\nwords = {x = 1}":     "table.a.words: is a table, not an array",
		"[table.'a b']\nnumber = 'x'":    `table."a b".number: is a string`,
		"[table.\"a\\nb\"]\nnumbr = 'x'": `table."a\nb".numbr: unknown key (did you mean number?)`,
		"Other = 'x'":                    "Other: unknown key",
		"name = 'x'\nname = 'y'":         "line 2: ",
		"name = ":                        "line 1: ",
		"name = \"\xff\"":                "line 1: ",
		strings.Repeat("#", 1001):        "line 1: is 1001 bytes long",
		"\n\nx = " + strings.Repeat("[", 20) + strings.Repeat("]", 20): "line 3: nests deeper than 16 levels",
		"\n" + strings.Repeat("a.", 20) + "a = 1":                      "line 2: nests deeper than 16 levels",
	} {
		found := decoder.Decode([]byte(text), &outer{}, 1000)
		assert.ErrorContains(t, found.Err(), want)
	}
}

// maxScannedDepth is the greatest depth that may pass the scan: 20 inline
// levels, each with a dotted key of 20 parts.
const maxScannedDepth = 20 * 20

// FuzzDepth checks that every input that the library parses as deeper than
// maxScannedDepth is refused by the depth scan.
func FuzzDepth(f *testing.F) {
	for _, start := range []string{
		`a = `, `a = ["""x"""", `, `a = ["\"", '\', `, "a = [\"\"\"\n\\\"\"\"\"\"\", '''''', # \"\n", `a = ['''x'''', `,
		"a = [ # '''\n", "a = [\"\"\"\\\n\"\"\", ", `"a\"" = [`, "'a\"' = [", "a = [\"\", '', ",
	} {
		f.Add(start, "[", "]", 18)
		f.Add(start, "{b=", "}", 3)
	}
	f.Fuzz(func(t *testing.T, start, open, end string, times int) {
		const most = 600 // levels that the library still parses quickly
		if times < 0 || len(start) > 200 || len(open) > 20 || len(end) > 20 {
			return
		}
		times = min(times, most)
		text := start + strings.Repeat(open, times) + strings.Repeat(end, times) + "]"
		for _, text := range []string{text, strings.TrimSuffix(text, "]")} {
			raw := map[string]any{}
			if _, err := toml.Decode(text, &raw); err != nil || depth(raw) <= maxScannedDepth {
				continue
			}
			found := decoder.Decode([]byte(text), &outer{}, 1<<20)
			assert.ErrorContains(t, found.Err(), "nests deeper")
		}
	})
}

func depth(raw any) int {
	deep := 0
	switch v := raw.(type) {
	case map[string]any:
		for _, e := range v {
			deep = max(deep, depth(e)+1)
		}
	case []any:
		for _, e := range v {
			deep = max(deep, depth(e)+1)
		}
	case []map[string]any:
		for _, e := range v {
			deep = max(deep, depth(e)+1)
		}
	}
	return deep
}
