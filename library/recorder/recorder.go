// Package recorder encodes and decodes the records that VMs append to the log
// and the messages that they send one another. It uses CBOR with a single
// canonical encoding, a strict decoder with limits, and a versioned envelope
// that names the kind of a record. Readers skip kinds and versions that they
// don't know. The package does no I/O.
package recorder

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

var (
	// ErrEncode is the class of errors about values that can't be encoded.
	ErrEncode = errs.Class("encode")
	// ErrDecode is the class of errors about malformed or invalid data.
	ErrDecode = errs.Class("decode")
	// ErrVersion is the class of errors about envelopes of an unsupported
	// version. Readers skip such records.
	ErrVersion = errs.Class("envelope version")
)

const (
	// Version is the envelope version that Wrap writes.
	Version = 1

	// maxNestedLevels and maxElements limit what the decoder allocates. Without
	// them, a hostile record of a few bytes could announce arrays of billions
	// of elements.
	maxNestedLevels = 16
	maxElements     = 1 << 17

	// maxKindBytes is the length of the longest kind.
	maxKindBytes = 64
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
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Encode returns the canonical encoding of v: equal values encode to equal
// bytes.
func Encode[T any](v T) ([]byte, error) {
	data, err := encoder.Marshal(v)
	return data, ErrEncode.Wrap(err)
}

// Decode decodes a T. It refuses duplicate keys, tags, indefinite lengths, deep
// nesting and trailing bytes. Unknown fields are skipped, so that newer VMs can
// add fields.
func Decode[T any](data []byte) (T, error) {
	var v T
	err := decoder.Unmarshal(data, &v)
	return v, ErrDecode.Wrap(err)
}

// envelope is encoded as a CBOR array of three elements, which takes four bytes
// in addition to the kind.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Kind    string
	Body    cbor.RawMessage
}

// Wrap encodes v in an envelope of the given kind.
func Wrap[T any](kind string, v T) ([]byte, error) {
	if kind == "" || len(kind) > maxKindBytes {
		return nil, ErrEncode.New("kind %q has %d bytes, expected 1 to %d", kind, len(kind), maxKindBytes)
	}
	body, err := Encode(v)
	if err != nil {
		return nil, err
	}
	return Encode(envelope{Version: Version, Kind: kind, Body: body})
}

// Kind returns the kind of an enveloped record without decoding its body.
// Callers skip records whose kind they don't know and records that fail with
// ErrVersion.
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
		return envelope{}, ErrVersion.New("%d is not supported, expected %d", e.Version, Version)
	}
	if e.Kind == "" || len(e.Kind) > maxKindBytes {
		return envelope{}, ErrDecode.New("kind has %d bytes, expected 1 to %d", len(e.Kind), maxKindBytes)
	}
	return e, nil
}
