package recorder

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
)

// magic begins gzip data. TOML can't begin with it.
var magic = []byte{0x1f, 0x8b}

// Compress makes a manifest shorter. A manifest of thousands of upstreams repeats
// itself, and would otherwise not fit into a record.
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

// Decompress returns the manifest that Pack packed, of at most limit bytes; what is
// not packed is returned as it is. A hostile record of a kilobyte may otherwise
// unpack to a thousand times as much, and take a small VM's memory.
func Decompress(packed []byte, limit int) ([]byte, error) {
	if !bytes.HasPrefix(packed, magic) {
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
