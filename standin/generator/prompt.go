package generator

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// block is how many bytes of prompt one unit of the prefix cache holds; the
// first block is what a prompt's head is the hash of.
const block = 4096

// A prompt is what is kept of a prompt's text.
type prompt struct {
	tokens int
	digest uint64
	head   string
	chain  []uint64 // hash of the first block, of the first two, and so on
}

// newPrompt reads a prompt once.
func newPrompt(text string, bytes int) prompt {
	p := prompt{tokens: (len(text) + bytes - 1) / bytes}
	p.head = fmt.Sprintf("%016x", xxhash.Sum64String(text[:min(block, len(text))]))
	d := xxhash.New()
	for len(text) >= block {
		_, _ = d.WriteString(text[:block]) // never fails
		p.chain = append(p.chain, d.Sum64())
		text = text[block:]
	}
	_, _ = d.WriteString(text)
	p.digest = d.Sum64()
	return p
}

// Digest is the number that the answer's text follows from: the xxhash64 of the
// prompt; with parts before it, the xxhash64 of all parts' digests and then its
// own, each as 16 hex digits.
func Digest(prompt string, parts ...string) uint64 {
	return join(xxhash.Sum64String(prompt), parts)
}

// join takes the parts' digests as hex.
func join(own uint64, parts []string) uint64 {
	if len(parts) == 0 {
		return own
	}
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
	}
	_, _ = fmt.Fprintf(d, "%016x", own)
	return d.Sum64()
}

// Text is token n, from 1 up, of the answer to a prompt with this digest.
func Text(digest uint64, n int) string {
	return "t" + strconv.Itoa(n) + "-" + fmt.Sprintf("%08x", uint32(digest)) + " "
}
