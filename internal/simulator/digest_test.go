package simulator

import (
	"reflect"
	"testing"
	"time"

	"opaldale/internal/api"
	"opaldale/internal/cloud"
	"opaldale/internal/controller"
	"opaldale/internal/ident"
	"opaldale/internal/kvstore"
	"opaldale/internal/transport"
	"opaldale/internal/workers"
)

// sumOf returns the digest of the messages that f records.
func sumOf(f func(d *Digest)) string {
	d := NewDigest()
	f(d)
	return d.Sum()
}

// fill sets every field reachable from v to a value other than zero, with one element in each slice.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	default:
		alter(v)
	}
}

// alter changes a value of a basic type.
func alter(v reflect.Value) {
	switch {
	case v.Kind() == reflect.String:
		v.SetString(v.String() + "x")
	case v.Kind() == reflect.Bool:
		v.SetBool(!v.Bool())
	case v.CanInt():
		v.SetInt(v.Int() + 1)
	case v.CanUint():
		v.SetUint(v.Uint() + 1)
	case v.CanFloat():
		v.SetFloat(v.Float() + 1)
	default:
		panic("simulator: cannot change a value of type " + v.Type().String())
	}
}

// alterEach changes each basic value reachable from v, and the length of each slice, one at a time. It calls f after each
// change and then reverts it.
func alterEach(v reflect.Value, path string, f func(path string)) {
	before := reflect.New(v.Type()).Elem()
	before.Set(v)
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			alterEach(v.Field(i), path+"."+v.Type().Field(i).Name, f)
		}
	case reflect.Slice:
		v.Set(reflect.Append(v.Slice(0, 1), v.Index(0)))
		f(path + " with one more element")
		v.Set(before)
		alterEach(v.Index(0), path+"[0]", f)
	case reflect.Pointer:
		alterEach(v.Elem(), path, f)
	default:
		alter(v)
		f(path)
		v.Set(before)
	}
}

// checkFields checks that a change of any field of a message changes its digest.
func checkFields[T any](t *testing.T, message T, record func(*Digest, T)) {
	t.Helper()
	v := reflect.ValueOf(&message).Elem()
	fill(v)
	sum := func() string { return sumOf(func(d *Digest) { record(d, message) }) }
	before, changed := sum(), 0
	if before != sum() {
		t.Errorf("%T: recording the same message twice gave two digests", message)
	}
	alterEach(v, "", func(path string) {
		changed++
		if sum() == before {
			t.Errorf("%T: a change of %s does not change the digest", message, path)
		}
	})
	if before != sum() || changed < v.NumField() {
		t.Errorf("%T: a change was not reverted, or got %d changes, want at least one for each field", message, changed)
	}
}

// sentReply has the fields of a controller.Response that are sent to the client.
type sentReply struct {
	Status, Retry int
	Body          []byte
}

// TestEveryFieldChangesDigest guards against fields left out of the digest, which would hide differences between two runs:
// any changed field of a request, a command, a frame or a reply changes the digest.
func TestEveryFieldChangesDigest(t *testing.T) {
	t.Parallel()
	at := timeAt(1)
	checkFields(t, kvstore.Request{}, func(d *Digest, r kvstore.Request) { d.storeRequest(at, "agent-0", r) })
	checkFields(t, cloud.Request{}, func(d *Digest, r cloud.Request) { d.cloudRequest(at, "agent-0", r) })
	checkFields(t, workers.CommandCall{}, func(d *Digest, c workers.CommandCall) { d.command(at, "agent-0", c) })
	checkFields(t, sentReply{}, func(d *Digest, r sentReply) {
		d.answer(at, "agent-0", "users", transport.GetJob, "j-1",
			controller.Response{Status: r.Status, RetryAfterS: r.Retry, Body: r.Body})
	})
	for _, kind := range []transport.MessageType{transport.MsgHello, transport.MsgHeartbeat, transport.MsgRequest,
		transport.MsgResponse, transport.MsgTransferLeader} {
		one, other := transport.Frame{Type: kind}, transport.Frame{Type: kind, Node: "agent-1", ID: 1}
		sum := func(f transport.Frame) string {
			return sumOf(func(d *Digest) { d.frame(at, "agent-0", "agent-1", f.Append(nil)) })
		}
		if sum(one) == sum(other) {
			t.Errorf("two different frames of type %d have the same digest", kind)
		}
	}
}

// TestEveryOperationHasALabel: records of different operations have different digests.
func TestEveryOperationHasALabel(t *testing.T) {
	t.Parallel()
	seen := map[string]string{}
	check := func(what string, f func(d *Digest)) {
		sum := sumOf(f)
		if seen[sum] != "" {
			t.Errorf("records of %q and %q have the same digest", what, seen[sum])
		}
		seen[sum] = what
	}
	check("nothing", func(*Digest) {})
	for op := kvstore.Get; op <= kvstore.Watch; op++ {
		check("state "+storeLabels[op], func(d *Digest) { d.storeRequest(0, "a", kvstore.Request{Op: op}) })
	}
	for op := cloud.Catalog; op <= cloud.List; op++ {
		check("cloud "+cloudLabels[op], func(d *Digest) { d.cloudRequest(0, "a", cloud.Request{Op: op}) })
	}
	for v := transport.SubmitJob; v <= transport.WorkerHeartbeat; v++ {
		check("answer "+requestLabels[v], func(d *Digest) { d.answer(0, "a", "b", v, "", controller.Response{}) })
	}
	check("command", func(d *Digest) { d.command(0, "a", workers.CommandCall{}) })
	check("frame", func(d *Digest) { d.frame(0, "a", "b", nil) })
}

// TestTimeOrderAndPartiesChangeDigest: the same messages at another time, from or to another party, or in another order have
// another digest.
func TestTimeOrderAndPartiesChangeDigest(t *testing.T) {
	t.Parallel()
	frame := func(at ident.MonotonicTime, from, to, text string) func(d *Digest) {
		return func(d *Digest) { d.frame(at, from, to, []byte(text)) }
	}
	one, other := frame(1, "a", "b", "one"), frame(1, "a", "b", "other")
	sums := map[string]bool{}
	for _, f := range []func(d *Digest){
		one, other, frame(2, "a", "b", "one"), frame(1, "b", "b", "one"), frame(1, "a", "a", "one"), frame(1, "ab", "", "one"),
		func(d *Digest) { one(d); other(d) }, func(d *Digest) { other(d); one(d) }, func(d *Digest) { one(d); one(d) },
		func(d *Digest) {
			d.command(1, "a", workers.CommandCall{Addr: "b", Body: api.CommandRequest{Commands: []api.Command{}}})
		},
		func(d *Digest) { d.command(1, "a", workers.CommandCall{Addr: "b"}) }, // nil commands, encoded as null
	} {
		sums[sumOf(f)] = true
	}
	if len(sums) != 11 {
		t.Errorf("got %d different digests, want 11", len(sums))
	}
}

// TestRecordingChangesNothing: a run has the same log whether its messages are recorded in a digest or not.
func TestRecordingChangesNothing(t *testing.T) {
	t.Parallel()
	cfg := Config{
		Seed:              6,
		Faults:            true,
		ConcurrentFaults:  true,
		LinkMonitoring:    true,
		ActiveDuration:    120 * time.Second,
		QuiescentDuration: replayQuiescence,
	}
	plain := New(cfg)
	plain.Run()
	cfg.Digest = NewDigest()
	recorded := New(cfg)
	recorded.Run()
	if plain.LogTail(len(plain.Log)) != recorded.LogTail(len(recorded.Log)) {
		t.Error("a recorded run has a different log from the same run without recording")
	}
	for _, kind := range []string{storeRecord, cloudRecord, commandRecord, frameRecord, answerRecord} {
		if cfg.Digest.counts[kind] == 0 {
			t.Errorf("got no record of kind %s, want at least one; counts: %v", kind, cfg.Digest.counts)
		}
	}
}
