package transport

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"opaldale/internal/ident"
	"opaldale/internal/links"
	"opaldale/internal/wire"
)

// ErrMalformedFrame is the error for input that is not a valid frame of this Version.
var ErrMalformedFrame = errors.New("malformed frame")

const (
	lengthBytes = 4 // size of a frame's length
	headerBytes = 2 // size of the version and message type fields
)

// codec encodes and decodes the fields of one message type. The decode functions need not check for
// truncated fields and trailing bytes: Decode does so afterwards.
type codec struct {
	encode func(b []byte, f *Frame) []byte
	decode func(r *wire.Reader, f *Frame) error
}

var codecs = map[MessageType]codec{
	MsgHello:          {encodeHello, decodeHello},
	MsgHeartbeat:      {encodeHeartbeat, decodeHeartbeat},
	MsgRequest:        {encodeRequest, decodeRequest},
	MsgResponse:       {encodeResponse, decodeResponse},
	MsgLinkState:      {encodeLinkState, decodeLinkState},
	MsgTransferLeader: {encodeTransferLeader, decodeTransferLeader},
	MsgRelayRequest:   {encodeRequest, decodeRequest},
}

// Append appends the encoded frame, including its length field, to b.
func (f *Frame) Append(b []byte) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0, Version, byte(f.Type))
	if c, ok := codecs[f.Type]; ok {
		b = c.encode(b, f)
	}
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-lengthBytes))
	return b
}

// Decode decodes a frame that is given without its length field. The body of the result shares the memory
// of b. Errors wrap ErrMalformedFrame.
func Decode(b []byte) (*Frame, error) {
	if len(b) < headerBytes || len(b) > MaxFrameBytes {
		return nil, fmt.Errorf("%w: %d bytes, want %d to %d", ErrMalformedFrame, len(b), headerBytes, MaxFrameBytes)
	}
	if b[0] != Version {
		return nil, fmt.Errorf("%w: version %d, want %d", ErrMalformedFrame, b[0], Version)
	}
	f := &Frame{Type: MessageType(b[1])}
	c, ok := codecs[f.Type]
	if !ok {
		return nil, fmt.Errorf("%w: unknown message type %d", ErrMalformedFrame, f.Type)
	}
	r := wire.NewReader(b[headerBytes:])
	if err := c.decode(r, f); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedFrame, err)
	}
	if !r.Complete() {
		return nil, fmt.Errorf("%w: truncated field or trailing bytes in message type %d", ErrMalformedFrame, f.Type)
	}
	return f, nil
}

// Read reads one frame, including its length field. Errors are those of r, or wrap ErrMalformedFrame.
func Read(r io.Reader) (*Frame, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > MaxFrameBytes {
		return nil, fmt.Errorf("%w: %d bytes, want at most %d", ErrMalformedFrame, n, MaxFrameBytes)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, err
	}
	return Decode(b)
}

func encodeHello(b []byte, f *Frame) []byte { return appendString(b, string(f.Node)) }

func decodeHello(r *wire.Reader, f *Frame) error {
	f.Node = ident.NodeID(readString(r))
	return nil
}

func encodeHeartbeat(b []byte, f *Frame) []byte {
	b = appendString(b, string(f.Node))
	b = binary.BigEndian.AppendUint64(b, uint64(f.Term))
	b = binary.BigEndian.AppendUint64(b, f.ID)
	b = binary.BigEndian.AppendUint64(b, f.Heartbeat.EchoID)
	b = binary.BigEndian.AppendUint32(b, f.Heartbeat.UptimeMS)
	b = binary.BigEndian.AppendUint32(b, f.Heartbeat.LeaseAllowanceMS)
	b = binary.BigEndian.AppendUint32(b, f.Heartbeat.SinceLeaderMS)
	return binary.BigEndian.AppendUint32(b, f.Heartbeat.SinceRenewalMS)
}

func decodeHeartbeat(r *wire.Reader, f *Frame) error {
	f.Node = ident.NodeID(readString(r))
	f.Term = ident.Term(r.Uint64())
	f.ID = r.Uint64()
	f.Heartbeat.EchoID = r.Uint64()
	f.Heartbeat.UptimeMS = r.Uint32()
	f.Heartbeat.LeaseAllowanceMS = r.Uint32()
	f.Heartbeat.SinceLeaderMS = r.Uint32()
	f.Heartbeat.SinceRenewalMS = r.Uint32()
	return nil
}

func encodeRequest(b []byte, f *Frame) []byte {
	b = binary.BigEndian.AppendUint64(b, f.ID)
	b = append(b, byte(f.Method))
	b = appendString(b, f.JobID)
	return appendBody(b, f.Body)
}

func decodeRequest(r *wire.Reader, f *Frame) error {
	f.ID = r.Uint64()
	f.Method = Method(r.Uint8())
	f.JobID = readString(r)
	f.Body = readBody(r)
	if f.Method < SubmitJob || f.Method > WorkerHeartbeat {
		return fmt.Errorf("unknown request method %d", f.Method)
	}
	return nil
}

func encodeResponse(b []byte, f *Frame) []byte {
	b = binary.BigEndian.AppendUint64(b, f.ID)
	b = binary.BigEndian.AppendUint16(b, f.Status)
	b = binary.BigEndian.AppendUint16(b, f.RetryAfterS)
	return appendBody(b, f.Body)
}

func decodeResponse(r *wire.Reader, f *Frame) error {
	f.ID = r.Uint64()
	f.Status = r.Uint16()
	f.RetryAfterS = r.Uint16()
	f.Body = readBody(r)
	return nil
}

func encodeLinkState(b []byte, f *Frame) []byte {
	b = binary.BigEndian.AppendUint64(b, f.ID)
	return links.AppendAdvertisements(b, f.LinkState)
}

func decodeLinkState(r *wire.Reader, f *Frame) error {
	f.ID = r.Uint64()
	var err error
	f.LinkState, err = links.DecodeAdvertisements(r.Rest())
	return err
}

func encodeTransferLeader(b []byte, f *Frame) []byte {
	b = appendString(b, string(f.Node))
	return binary.BigEndian.AppendUint64(b, uint64(f.Term))
}

func decodeTransferLeader(r *wire.Reader, f *Frame) error {
	f.Node = ident.NodeID(readString(r))
	f.Term = ident.Term(r.Uint64())
	return nil
}

func appendString(b []byte, s string) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(len(s)))
	return append(b, s...)
}

func readString(r *wire.Reader) string { return r.String(int(r.Uint16())) }

func appendBody(b, body []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	return append(b, body...)
}

func readBody(r *wire.Reader) []byte {
	n := r.Uint32()
	if n > MaxFrameBytes {
		r.Fail()
	}
	return r.Bytes(int(n))
}
