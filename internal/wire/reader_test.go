package wire

import (
	"bytes"
	"testing"
)

// TestReader reads a message with one field of each type.
func TestReader(t *testing.T) {
	r := NewReader([]byte{1, 0, 2, 0, 0, 0, 3, 0, 0, 0, 0, 0, 0, 0, 4, 'a', 'b', 'c', 'd'})
	if v := r.Uint8(); v != 1 {
		t.Errorf("read uint8 %d, want 1", v)
	}
	if v := r.Uint16(); v != 2 {
		t.Errorf("read uint16 %d, want 2", v)
	}
	if v := r.Uint32(); v != 3 {
		t.Errorf("read uint32 %d, want 3", v)
	}
	if v := r.Uint64(); v != 4 {
		t.Errorf("read uint64 %d, want 4", v)
	}
	if v := r.String(2); v != "ab" {
		t.Errorf("read string %q, want \"ab\"", v)
	}
	if r.Complete() {
		t.Error("Complete returned true with two bytes left, want false")
	}
	if v := r.Rest(); !bytes.Equal(v, []byte("cd")) {
		t.Errorf("read rest %q, want \"cd\"", v)
	}
	if !r.Complete() || r.Malformed() {
		t.Errorf("at the end: complete %v, want true; malformed %v, want false", r.Complete(), r.Malformed())
	}
}

// TestTruncatedField: a truncated field is read as zero and makes the message malformed, so all further reads
// return zero values.
func TestTruncatedField(t *testing.T) {
	for _, c := range []struct {
		name string
		size int // of the message: one byte less than the field needs
		read func(*Reader) uint64
	}{
		{"uint8", 0, func(r *Reader) uint64 { return uint64(r.Uint8()) }},
		{"uint16", 1, func(r *Reader) uint64 { return uint64(r.Uint16()) }},
		{"uint32", 3, func(r *Reader) uint64 { return uint64(r.Uint32()) }},
		{"uint64", 7, func(r *Reader) uint64 { return r.Uint64() }},
		{"bytes", 4, func(r *Reader) uint64 { return uint64(len(r.Bytes(5))) }},
		{"string", 4, func(r *Reader) uint64 { return uint64(len(r.String(5))) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewReader(bytes.Repeat([]byte{1}, c.size))
			if v := c.read(r); v != 0 || !r.Malformed() || r.Complete() {
				t.Errorf("read %d, want 0; malformed %v, want true; complete %v, want false", v, r.Malformed(), r.Complete())
			}
			if v := r.Uint8(); v != 0 || len(r.Rest()) != 0 {
				t.Errorf("read %d after a truncated field, want 0 and no remaining bytes", v)
			}
		})
	}
}

// TestReaderFail: after a call of Fail the message is malformed, and further reads return zero values.
func TestReaderFail(t *testing.T) {
	r := NewReader([]byte{1})
	r.Fail()
	if v := r.Uint8(); v != 0 || !r.Malformed() || r.Complete() {
		t.Errorf("read %d, want 0; malformed %v, want true; complete %v, want false", v, r.Malformed(), r.Complete())
	}
}
