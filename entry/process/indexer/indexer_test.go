package indexer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/indexer"
)

func TestHints(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name       string
		do         func(h *indexer.PrefixIndex)
		prefixHash uint64
		boot       uint64
		at         time.Duration
		want       bool
	}{
		{"processed there", func(*indexer.PrefixIndex) {}, 1, 7, time.Second, true},
		{"another prompt", func(*indexer.PrefixIndex) {}, 2, 7, time.Second, false},
		{"restarted", func(*indexer.PrefixIndex) {}, 1, 8, time.Second, false},
		{"boot unknown", func(*indexer.PrefixIndex) {}, 1, 0, time.Second, true},
		{"expired", func(*indexer.PrefixIndex) {}, 1, 7, time.Hour, false},
		{"evicted", func(h *indexer.PrefixIndex) {
			h.Add(now, 5, "e1", 7)
			h.Add(now, 6, "e1", 7)
		}, 1, 7, time.Second, false},
		{"processed again", func(h *indexer.PrefixIndex) {
			h.Add(now, 5, "e1", 7)
			h.Add(now, 1, "e1", 7)
			h.Add(now, 6, "e1", 7)
		}, 1, 7, time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := indexer.New(2)
			h.Add(now, 1, "e1", 7)
			test.do(h)
			assert.Equal(t, h.Has(now.Add(test.at), test.prefixHash, "e1", test.boot), test.want)
		})
	}
}
