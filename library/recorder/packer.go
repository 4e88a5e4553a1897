package recorder

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
)

// gzipMagic is the start of gzip data. TOML can't start with these bytes.
var gzipMagic = []byte{0x1f, 0x8b}

// Compress compresses a manifest with gzip. A manifest of thousands of
// upstreams is repetitive, and would not fit into a record uncompressed.
func Compress(source []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestCompression)
	if err != nil {
		return nil, ErrEncode.Wrap(err)
	}
	if _, err := w.Write(source); err != nil {
		return nil, ErrEncode.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, ErrEncode.Wrap(err)
	}
	return b.Bytes(), nil
}

// Decompress returns a manifest that Compress compressed, of at most limit
// bytes. Data that is not gzip is returned unchanged. Without the limit, a
// hostile record of a kilobyte could expand a thousandfold and exhaust the
// memory of a small VM.
func Decompress(packed []byte, limit int) ([]byte, error) {
	if !bytes.HasPrefix(packed, gzipMagic) {
		return packed, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, ErrDecode.Wrap(err)
	}
	r.Multistream(false)
	source, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, ErrDecode.Wrap(err)
	}
	if len(source) > limit {
		return nil, ErrDecode.Wrap(errors.New("it unpacks to more than is allowed"))
	}
	return source, nil
}
