package wire

import (
	"bytes"
	"testing"
)

// TestReader reads one field of each type.
func TestReader(t *testing.T) {
	r := NewReader([]byte{1, 0, 2, 0, 0, 0, 3, 0, 0, 0, 0, 0, 0, 0, 4, 'a', 'b', 'c', 'd'})
	if v := r.Uint8(); v != 1 {
		t.Errorf("uint8 is %d", v)
	}
	if v := r.Uint16(); v != 2 {
		t.Errorf("uint16 is %d", v)
	}
	if v := r.Uint32(); v != 3 {
		t.Errorf("uint32 is %d", v)
	}
	if v := r.Uint64(); v != 4 {
		t.Errorf("uint64 is %d", v)
	}
	if v := r.String(2); v != "ab" {
		t.Errorf("string is %q", v)
	}
	if r.Complete() {
		t.Error("complete with two bytes left")
	}
	if v := r.Rest(); !bytes.Equal(v, []byte("cd")) {
		t.Errorf("rest is %q", v)
	}
	if !r.Complete() || r.Malformed() {
		t.Errorf("complete %v, malformed %v at the end", r.Complete(), r.Malformed())
	}
}

// TestTruncatedField: a truncated field is zero, and makes the message malformed.
func TestTruncatedField(t *testing.T) {
	for _, c := range []struct {
		name string
		size int // of the message, one byte too few
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
				t.Errorf("read %d, malformed %v, complete %v", v, r.Malformed(), r.Complete())
			}
			if v := r.Uint8(); v != 0 || len(r.Rest()) != 0 {
				t.Errorf("read %d after a field that was cut short", v)
			}
		})
	}
}

// TestReaderFail: a message is malformed after Fail.
func TestReaderFail(t *testing.T) {
	r := NewReader([]byte{1})
	r.Fail()
	if v := r.Uint8(); v != 0 || !r.Malformed() || r.Complete() {
		t.Errorf("read %d, malformed %v, complete %v", v, r.Malformed(), r.Complete())
	}
}
