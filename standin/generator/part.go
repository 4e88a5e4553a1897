package generator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/dghubble/sling"
	"github.com/zeebo/errs"
)

// maxListing bounds another engine's list of streams in bytes.
const maxListing = 4 << 20

// handleOf names a part: its id, and its digest as 16 hex digits.
func handleOf(s *stream) string { return fmt.Sprintf("%s:%016x", s.id, s.prompt.digest) }

// parse splits a handle.
func (h handle) parse() (id, digest string, err error) {
	id, digest, ok := cutLast(h.Handle, ":")
	if !ok || len(digest) != 16 {
		return "", "", errs.New("handle %q is not of the form id:digest", h.Handle)
	}
	return id, digest, nil
}

// cutLast is strings.Cut around the last separator.
func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

// parts checks that each handle's engine still holds it, and returns the
// digests in order.
func (g *Generator) parts(ctx context.Context, handles []handle) ([]string, error) {
	digests := make([]string, 0, len(handles))
	for _, h := range handles {
		id, digest, err := h.parse()
		if err != nil {
			return nil, err
		}
		held, err := g.held(ctx, h.Address, id)
		if err != nil {
			return nil, err
		}
		if !held {
			return nil, errs.New("%s does not hold %q", h.Address, h.Handle)
		}
		digests = append(digests, digest)
	}
	return digests, nil
}

// held asks another engine whether it holds a part that has been read.
func (g *Generator) held(ctx context.Context, address, id string) (bool, error) {
	req, err := sling.New().Get("http://" + address + "/v1/streams").Request()
	if err != nil {
		return false, err
	}
	res, err := g.config.Client.Do(req.WithContext(ctx))
	if err != nil {
		return false, err
	}
	defer res.Body.Close()
	var list listing
	if err := json.NewDecoder(io.LimitReader(res.Body, maxListing)).Decode(&list); err != nil {
		return false, err
	}
	return slices.ContainsFunc(list.Streams, func(l listed) bool {
		return l.ID == id && l.Kind == kindPart
	}), nil
}
