package generator

import (
	"container/list"
)

// A cache holds the prefixes of prompts that were read, the latest used last.
// Of prompts with the same head it keeps the latest.
type cache struct {
	perBlock int // tokens
	size     int // tokens
	order    *list.List
	heads    map[string]*list.Element
}

// A prefix is one cached prompt.
type prefix struct {
	head  string
	chain []uint64
}

func newCache(bytes int) *cache {
	return &cache{perBlock: block / bytes, order: list.New(), heads: make(map[string]*list.Element)}
}

// find returns how many tokens of a prompt are cached, and marks them used.
func (c *cache) find(p prompt) int {
	e, ok := c.heads[p.head]
	if !ok {
		return 0
	}
	c.order.MoveToBack(e)
	have := e.Value.(*prefix).chain //nolint:forcetypeassert // the list holds only prefixes
	n := 0
	for n < len(have) && n < len(p.chain) && have[n] == p.chain[n] {
		n++
	}
	return n * c.perBlock
}

// add caches a prompt that was read, and reports whether its head is new. A
// prompt shorter than a block isn't cached.
func (c *cache) add(p prompt) bool {
	if len(p.chain) == 0 {
		return false
	}
	if e, ok := c.heads[p.head]; ok {
		have := e.Value.(*prefix) //nolint:forcetypeassert // the list holds only prefixes
		c.size += (len(p.chain) - len(have.chain)) * c.perBlock
		have.chain = p.chain
		c.order.MoveToBack(e)
		return false
	}
	c.heads[p.head] = c.order.PushBack(&prefix{head: p.head, chain: p.chain})
	c.size += len(p.chain) * c.perBlock
	return true
}

// shrink drops the least recently used prefixes until the rest fits in room
// tokens, and returns the dropped heads.
func (c *cache) shrink(room int) []string {
	var dropped []string
	for c.size > room && c.order.Len() > 0 {
		p := c.order.Remove(c.order.Front()).(*prefix) //nolint:forcetypeassert // the list holds only prefixes
		c.size -= len(p.chain) * c.perBlock
		delete(c.heads, p.head)
		dropped = append(dropped, p.head)
	}
	return dropped
}

// clear drops all and returns the dropped heads.
func (c *cache) clear() []string { return c.shrink(-1) }
