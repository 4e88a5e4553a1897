// Package verifier makes prompts of a given size and checks that an answer is
// whole and belongs to its own prompt. The stand-in engine's answer follows
// from the prompt by a formula, which the stand-ins' page gives, so that a
// mixed-up, doubled or missing token shows.
package verifier

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/bench/caller"
)

// filler is what a prompt is filled up with after its own first line.
const filler = "The parties to this agreement have met and have agreed on the terms that follow. "

// Prompt returns a text of exactly size bytes, or of the title's length where
// that is more, which begins with the title.
func Prompt(title string, size int) string {
	var b strings.Builder
	b.Grow(size + len(filler))
	b.WriteString(title)
	b.WriteByte('\n')
	for b.Len() < size {
		b.WriteString(filler)
	}
	text := b.String()
	return text[:max(size, len(title))]
}

// Answer is the whole answer to a prompt, in tokens tokens.
func Answer(prompt string, tokens int) string {
	digest := fnv.New64a()
	_, _ = io.WriteString(digest, prompt)
	return text(digest.Sum64(), tokens)
}

// text is tokens tokens of the answer to a prompt with this digest.
func text(digest uint64, tokens int) string {
	var b strings.Builder
	for n := 1; n <= tokens; n++ {
		b.WriteString("t" + strconv.Itoa(n) + "-" + fmt.Sprintf("%08x", uint32(digest)) + " ")
	}
	return b.String()
}

// Check says what is wrong with an answer that should be whole and have the
// given number of tokens; nil where nothing is.
func Check(prompt string, tokens int, a caller.Answer) error {
	switch {
	case a.Err != nil:
		return a.Err
	case a.Status != http.StatusOK:
		return errs.New("refused with status %d %s: %s", a.Status, a.Code, a.Text)
	case a.Code != "":
		return errs.New("cut after %d tokens: %s: %s", a.Tokens, a.Code, a.Text)
	case !a.Whole:
		return errs.New("the stream ended after %d tokens without [DONE]", a.Tokens)
	case !Own(prompt, tokens, a):
		return errs.New("the answer is not the one to this prompt: %.80q", a.Content)
	}
	return nil
}

// Own says whether the text that arrived is the whole answer to the prompt.
func Own(prompt string, tokens int, a caller.Answer) bool {
	return a.Content == Answer(prompt, tokens)
}

// Begins says whether the text that arrived, which may have been cut, is the
// start of the answer to the prompt: no token doubled, missing or another's.
func Begins(prompt string, tokens int, a caller.Answer) bool {
	return strings.HasPrefix(Answer(prompt, tokens), a.Content)
}
