package borrower_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/borrower"
	"github.com/heathervane/heathervane/entry/process/lender"
	"github.com/heathervane/heathervane/library/recorder"
)

var epoch = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func start() *borrower.Borrower {
	return borrower.New(borrower.Config{
		Name: "e", Life: 2 * time.Second, Drift: 0.01, Fresh: 3 * time.Second, Gap: 10 * time.Millisecond,
	})
}

// lent returns a borrower with a loan that it asked for at the epoch.
func lent(t *testing.T, l lender.Loan) *borrower.Borrower {
	t.Helper()
	b := start()
	a, due := b.Ask(epoch)
	assert.Assert(t, due)
	l.Name, l.Fence, l.Seq, l.Echo, l.Life, l.Boot = "e", 5, 5, a.Seq, 2000, 7
	b.Handle(at(100), l)
	return b
}

// The loan's life counts from before it was asked for. The answer was under way
// for long, and the holder may have lent the slots to another since.
func TestLoanLivesFromTheAsk(t *testing.T) {
	b := lent(t, lender.Loan{Slots: 3})
	_, ok := b.Take(at(1979), 0)
	assert.Assert(t, ok)
	_, ok = b.Take(at(1980), 0)
	assert.Assert(t, !ok)
}

// A holder that was replaced sends once more. Its slots have been lent anew.
func TestOlderFenceIsRefused(t *testing.T) {
	tests := []struct {
		name       string
		fence, seq uint64
		free       int
	}{
		{"older fence", 4, 99, 3},
		{"same loan again", 5, 5, 3},
		{"older loan", 5, 4, 3},
		{"newer loan", 5, 6, 9},
		{"newer fence", 6, 1, 9},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := lent(t, lender.Loan{Slots: 3})
			b.Handle(at(200), lender.Loan{
				Name: "e", Fence: test.fence, Seq: test.seq, Echo: 1, Life: 2000, Boot: 7, Slots: 9,
			})
			assert.Equal(t, b.View(at(200)).Free, test.free)
		})
	}
}

// The share goes on without the holder, but only on fresh word that the upstream
// is warm, and never after a sign that it is not.
func TestShare(t *testing.T) {
	tests := []struct {
		name string
		do   func(b *borrower.Borrower)
		at   int
		free int
	}{
		{"fresh", func(*borrower.Borrower) {}, 2900, 2},
		{"stale", func(*borrower.Borrower) {}, 2970, 0},
		{"looked", func(b *borrower.Borrower) { b.Warm(at(2500), lender.Load{Boot: 7}) }, 5000, 2},
		{"looked and cold", func(b *borrower.Borrower) { b.Warm(at(2500), lender.Load{Boot: 7, Cold: true}) }, 2600, 0},
		{"looked and new boot", func(b *borrower.Borrower) { b.Warm(at(2500), lender.Load{Boot: 8}) }, 2600, 0},
		{"turned", func(b *borrower.Borrower) { b.Turned(7) }, 2500, 0},
		{"turned, unknown boot", func(b *borrower.Borrower) { b.Turned(0) }, 2500, 0},
		{"seat lost", func(b *borrower.Borrower) { b.Share(0) }, 2500, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := lent(t, lender.Loan{Slots: 3, Share: 2})
			b.Share(2)
			test.do(b)
			assert.Equal(t, b.View(at(test.at)).Free, test.free)
		})
	}
}

// The upstream turned cold, this VM saw it, and a loan comes from a holder that
// did not know it yet.
func TestLoanSentBeforeTheHolderKnew(t *testing.T) {
	b := lent(t, lender.Loan{Slots: 3, Share: 2})
	assert.Assert(t, b.Turned(8))
	assert.Assert(t, !b.Turned(7), "late news of an earlier boot")
	b.Handle(at(200), lender.Loan{Name: "e", Fence: 5, Seq: 6, Echo: 1, Life: 2000, Boot: 7, Slots: 3, Share: 2})
	assert.Equal(t, b.View(at(200)).Free, 0)
	a, due := b.Ask(at(300))
	assert.Assert(t, due)
	assert.Assert(t, a.Cold)
	assert.Equal(t, a.Boot, uint64(8))
	b.Handle(at(400), lender.Loan{Name: "e", Fence: 5, Seq: 7, Echo: a.Seq, Life: 2000, Boot: 8, Slots: 1})
	assert.Equal(t, b.View(at(400)).Free, 1)
}

func TestTokens(t *testing.T) {
	b := lent(t, lender.Loan{Slots: 3})
	_, ok := b.Take(at(200), 50_000)
	assert.Assert(t, !ok)
	a, _ := b.Ask(at(200))
	assert.Equal(t, a.Need, 50_000)
	more := b.Handle(at(300), lender.Loan{Name: "e", Fence: 5, Seq: 6, Echo: a.Seq, Life: 2000, Boot: 7, Slots: 3, Tokens: 50_000})
	assert.Assert(t, more, "who waits for memory is told")
	boot, ok := b.Take(at(300), 50_000)
	assert.Assert(t, ok)
	_, ok = b.Take(at(300), 1)
	assert.Assert(t, !ok)
	b.Done(boot, 50_000, borrower.Completed)
	a, _ = b.Ask(at(400))
	assert.Equal(t, a.Held, 0)
	assert.Equal(t, a.Done, uint64(1))
}

// FuzzLoan feeds a holder's bytes to a borrower: whatever they say, it never
// starts more than its share and the loan add up to.
func FuzzLoan(f *testing.F) {
	good, err := recorder.Encode(lender.Loan{Name: "e", Fence: 6, Seq: 9, Echo: 1, Life: 1 << 40, Boot: 7, Slots: 1})
	assert.NilError(f, err)
	f.Add(good)
	f.Fuzz(func(t *testing.T, data []byte) {
		l, err := recorder.Decode[lender.Loan](data)
		if err != nil {
			return
		}
		b := start()
		b.Ask(epoch)
		b.Handle(at(100), l)
		v := b.View(at(100))
		assert.Assert(t, v.Free >= 0)
		assert.Equal(t, b.View(at(3000)).Free, 0, "no loan outlives its life")
	})
}

func BenchmarkTake(b *testing.B) {
	o := start()
	o.Ask(epoch)
	o.Handle(epoch, lender.Loan{Name: "e", Fence: 1, Seq: 1, Echo: 1, Life: 2000, Boot: 7, Slots: 100})
	for b.Loop() {
		if boot, ok := o.Take(epoch, 0); ok {
			o.Done(boot, 0, borrower.Completed)
		}
	}
}

func BenchmarkView(b *testing.B) {
	o := start()
	for b.Loop() {
		o.View(epoch)
	}
}
