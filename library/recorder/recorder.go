// Package recorder is the codec of what VMs write to the log and send one
// another: CBOR with one canonical encoding and a strict, bounded reader, and a
// versioned envelope that names the kind of a record. Readers skip kinds and
// versions that they do not know. It neither reads nor writes any stream.
package recorder

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

var (
	// ErrEncode is the class of values that can't be encoded.
	ErrEncode = errs.Class("encode")
	// ErrDecode is the class of data that isn't what it should be.
	ErrDecode = errs.Class("decode")
	// ErrVersion is the class of envelopes of a version not known here. Readers
	// skip them.
	ErrVersion = errs.Class("envelope version")
)

const (
	// Version is the version of the envelope that Wrap writes.
	Version = 1

	// maxNested and maxItems bound what the decoder builds: a hostile record of
	// a few bytes may otherwise announce arrays of billions of entries.
	maxNested = 16
	maxItems  = 1 << 17

	// maxKind is the longest name of a kind in bytes.
	maxKind = 64
)

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  maxNested,
		MaxArrayElements: maxItems,
		MaxMapPairs:      maxItems,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Encode returns the canonical encoding of v: equal values have equal bytes.
func Encode[T any](v T) ([]byte, error) {
	data, err := encoder.Marshal(v)
	return data, ErrEncode.Wrap(err)
}

// Decode reads a T. It refuses duplicate keys, tags, indefinite lengths, deep
// nesting and trailing bytes; fields that T does not have are skipped, so that
// a newer VM may add some.
func Decode[T any](data []byte) (T, error) {
	var v T
	err := decoder.Unmarshal(data, &v)
	return v, ErrDecode.Wrap(err)
}

// envelope is an array of three, which costs four bytes beside its kind.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Kind    string
	Body    cbor.RawMessage
}

// Wrap encodes v in an envelope that names its kind.
func Wrap[T any](kind string, v T) ([]byte, error) {
	if kind == "" || len(kind) > maxKind {
		return nil, ErrEncode.New("kind %q has %d bytes, expected 1 to %d", kind, len(kind), maxKind)
	}
	body, err := Encode(v)
	if err != nil {
		return nil, err
	}
	return Encode(envelope{Version: Version, Kind: kind, Body: body})
}

// Kind returns the kind of an enveloped record without reading its body. A
// reader skips a record of a kind that it does not know, and one whose error is
// of the class ErrVersion.
func Kind(data []byte) (string, error) {
	e, err := open(data)
	return e.Kind, err
}

// Unwrap decodes the body of an enveloped record.
func Unwrap[T any](data []byte) (T, error) {
	e, err := open(data)
	if err != nil {
		var none T
		return none, err
	}
	return Decode[T](e.Body)
}

func open(data []byte) (envelope, error) {
	e, err := Decode[envelope](data)
	if err != nil {
		return envelope{}, err
	}
	if e.Version != Version {
		return envelope{}, ErrVersion.New("%d, known is %d", e.Version, Version)
	}
	if e.Kind == "" || len(e.Kind) > maxKind {
		return envelope{}, ErrDecode.New("kind has %d bytes, expected 1 to %d", len(e.Kind), maxKind)
	}
	return e, nil
}
