// Package wire decodes the fields of binary messages, such as big-endian integers and byte strings.
package wire

import "encoding/binary"

// Reader reads the fields of a binary message in order. If a field is truncated or Fail is called, the
// message counts as malformed, and all further reads return zero values. The zero Reader reads an empty
// message.
type Reader struct {
	rest      []byte
	malformed bool
}

// NewReader returns a reader of a message. Byte slices returned by its methods share memory with the message.
func NewReader(message []byte) *Reader { return &Reader{rest: message} }

// Fail marks the message as malformed. Callers use it for fields with invalid values.
func (r *Reader) Fail() { r.malformed = true }

// Malformed reports whether a field was truncated or Fail was called.
func (r *Reader) Malformed() bool { return r.malformed }

// Complete reports whether the message is well-formed and was read to its end.
func (r *Reader) Complete() bool { return !r.malformed && len(r.rest) == 0 }

// Bytes returns the next n bytes. If fewer remain, it returns nil and marks the message as malformed.
func (r *Reader) Bytes(n int) []byte {
	if r.malformed || n > len(r.rest) {
		r.malformed = true
		return nil
	}
	field := r.rest[:n:n]
	r.rest = r.rest[n:]
	return field
}

// Rest returns all remaining bytes.
func (r *Reader) Rest() []byte { return r.Bytes(len(r.rest)) }

// String returns the next n bytes as a string.
func (r *Reader) String(n int) string { return string(r.Bytes(n)) }

// Uint8 returns the next byte as an integer.
func (r *Reader) Uint8() uint8 {
	if field := r.Bytes(1); field != nil {
		return field[0]
	}
	return 0
}

// Uint16 returns the big-endian integer in the next two bytes.
func (r *Reader) Uint16() uint16 {
	if field := r.Bytes(2); field != nil {
		return binary.BigEndian.Uint16(field)
	}
	return 0
}

// Uint32 returns the big-endian integer in the next four bytes.
func (r *Reader) Uint32() uint32 {
	if field := r.Bytes(4); field != nil {
		return binary.BigEndian.Uint32(field)
	}
	return 0
}

// Uint64 returns the big-endian integer in the next eight bytes.
func (r *Reader) Uint64() uint64 {
	if field := r.Bytes(8); field != nil {
		return binary.BigEndian.Uint64(field)
	}
	return 0
}
