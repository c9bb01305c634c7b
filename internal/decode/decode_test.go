package decode

import (
	"errors"
	"reflect"
	"strings"
	"testing"
)

type testMessage struct {
	Name  string       `json:"name"`
	Inner []testRecord `json:"inner"`
}

type testRecord struct {
	Count int  `json:"count"`
	Zero  *int `json:"zero"`
}

func TestJSON(t *testing.T) {
	for _, testCase := range []struct {
		name, text string
		want       testMessage
		fails      bool
		field      string
	}{
		{name: "exact names", text: `{"NAME":"a","name":"b","Name":"c"}`, want: testMessage{Name: "b"}},
		{name: "nested", text: `{"inner":[{"COUNT":1,"count":2,"Count":3}]}`,
			want: testMessage{Inner: []testRecord{{Count: 2}}}},
		{name: "given twice", text: `{"name":"a","name":"b"}`, want: testMessage{Name: "b"}},
		{name: "unknown field twice", text: `{"x":{"y":1,"y":2},"x":0,"name":"b"}`, want: testMessage{Name: "b"}},
		{name: "null", text: `{"name":null,"inner":null}`},
		{name: "invalid UTF-8", text: "{\"name\":\"\xff\"}", want: testMessage{Name: "\ufffd"}},
		{name: "wrong type", text: `{"inner":[{},{"count":"1"}]}`, fails: true, field: "inner.1.count"},
		{name: "out of range", text: `{"inner":[{"count":1e30}]}`, fails: true, field: "inner.0.count"},
		{name: "not an object", text: `[]`, fails: true},
		{name: "truncated", text: `{"name":"b"`, fails: true},
		{name: "more than one value", text: `{"name":"b"} {}`, fails: true},
		{name: "empty", fails: true},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			var got, gotFrom testMessage
			err := JSON([]byte(testCase.text), &got)
			if (err != nil) != testCase.fails || FieldPath(err) != testCase.field {
				t.Errorf("got error %v at field %q, want an error: %v, at %q",
					err, FieldPath(err), testCase.fails, testCase.field)
			}
			errFrom := JSONFrom(strings.NewReader(testCase.text), &gotFrom)
			if (errFrom != nil) != testCase.fails {
				t.Errorf("JSONFrom: got error %v, want an error: %v", errFrom, testCase.fails)
			}
			if !testCase.fails && (!reflect.DeepEqual(got, testCase.want) || !reflect.DeepEqual(gotFrom, testCase.want)) {
				t.Errorf("got %+v and from a reader %+v, want %+v", got, gotFrom, testCase.want)
			}
		})
	}
}

func TestFields(t *testing.T) {
	type field struct {
		name   string
		isNull bool
	}
	var got []field
	collect := func(name string, isNull bool) error {
		got = append(got, field{name, isNull})
		return nil
	}
	err := Fields([]byte(` {"a":{"b":1,"b":2},"A":null,"a":[null],"\u0061":"null"} `), collect)
	if want := []field{{"a", false}, {"A", true}, {"a", false}, {"a", false}}; err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got fields %v, %v, want %v", got, err, want)
	}
	if err := Fields([]byte(`["a"]`), collect); !errors.Is(err, ErrNotObject) {
		t.Errorf("array: got error %v, want %v", err, ErrNotObject)
	}
	for _, text := range []string{"", "{", `{"a"`, `{"a":`, `{"a":1`, `{"a":1,`, `{1:2}`} {
		if err := Fields([]byte(text), collect); err == nil {
			t.Errorf("%q: got no error, want one", text)
		}
	}
	stop := errors.New("stop")
	if err := Fields([]byte(`{"a":1}`), func(string, bool) error { return stop }); !errors.Is(err, stop) {
		t.Errorf("error of visit: got %v, want %v", err, stop)
	}
}
