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

// newPrompt reads a prompt, which follows parts with the given digests.
func newPrompt(text string, bytes int, parts []string) prompt {
	p := prompt{tokens: (len(text) + bytes - 1) / bytes, digest: Digest(text, parts...)}
	p.head = fmt.Sprintf("%016x", xxhash.Sum64String(text[:min(block, len(text))]))
	d := xxhash.New()
	for len(text) >= block {
		_, _ = d.WriteString(text[:block])
		p.chain = append(p.chain, d.Sum64())
		text = text[block:]
	}
	return p
}

// The constants of FNV-1a with 64 bits.
const (
	offsetBasis = 14695981039346656037
	prime       = 1099511628211
)

// Digest is the number that the answer's text follows from: the FNV-1a hash of
// the prompt with 64 bits. With parts before it, given by their digests as 16
// hex digits, the hash goes on from the last one's. Its state is its value, so
// the digest of a prompt is the same wherever it was split: a caller who does
// not know the split can still tell its own answer.
func Digest(prompt string, parts ...string) uint64 {
	digest := uint64(offsetBasis)
	if len(parts) > 0 {
		// The form of a handle was checked before; a broken one gives 0 and so
		// an answer that is nobody's.
		digest, _ = strconv.ParseUint(parts[len(parts)-1], 16, 64)
	}
	for i := range len(prompt) {
		digest = (digest ^ uint64(prompt[i])) * prime
	}
	return digest
}

// Text is token n, from 1 up, of the answer to a prompt with this digest.
func Text(digest uint64, n int) string {
	return "t" + strconv.Itoa(n) + "-" + fmt.Sprintf("%08x", uint32(digest)) + " "
}
