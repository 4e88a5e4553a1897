package switcher_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/switcher"
)

func TestModeFollowsTheSettingsBeforeTheConfiguration(t *testing.T) {
	for _, c := range []struct {
		text             string
		called, uncalled bool
	}{{"", true, false}, {"auto", true, false}, {"on", true, true}, {"off", false, false}} {
		m, err := switcher.ParseMode(c.text)
		assert.NilError(t, err)
		assert.Equal(t, m.Enabled(true), c.called, "%q", c.text)
		assert.Equal(t, m.Enabled(false), c.uncalled, "%q", c.text)
	}
	_, err := switcher.ParseMode("maybe")
	assert.ErrorContains(t, err, "maybe")
}
