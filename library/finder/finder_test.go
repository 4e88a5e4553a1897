package finder_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/library/finder"
)

func TestNearest(t *testing.T) {
	words := []string{"check", "publish", "zone", "vm", "upstream", "status"}
	for word, want := range map[string]string{
		"publsh": "publish", "pubilsh": "publish", "zoen": "zone", "wm": "vm", "statuses": "status",
		"upstraem": "upstream", "list": "", "x": "", "": "", "checkpoint": "",
		strings.Repeat("zone", 30): "",
	} {
		assert.Equal(t, finder.Nearest(word, words), want, word)
	}
	assert.Equal(t, finder.Nearest("zone", nil), "")
}

func TestFindingsAreBounded(t *testing.T) {
	var found finder.Findings
	assert.NilError(t, found.Err())
	for i := range 3 * finder.MaxFindings {
		found.Addf(fmt.Sprint("place", i), "is wrong")
		found.AddHintf("place", "zoen", []string{"zone"}, "is wrong")
	}
	assert.Equal(t, len(found), finder.MaxFindings)
	assert.Equal(t, found[1].String(), "place: is wrong (did you mean zone?)")
	assert.Equal(t, found[finder.MaxFindings-1].Text, "more findings than are listed here")
	var e *finder.Error
	assert.Assert(t, errors.As(found.Err(), &e))
}
