package golden

import (
	"encoding/json"
	"fmt"
	"reflect"
)

// BoolVariants is the number of variants of Filled after which each pair of booleans has differed
// in at least one variant, for types with up to seven booleans.
const BoolVariants = 3

// Filled returns a value with all exported fields set. Fields other than booleans have distinct
// values, which depend only on the order of the fields. Slices and maps have one element. Strings
// have the format of a job ID, which decoders of IDs require. variant, counted from 0, selects the
// booleans that are true.
func Filled[T any](variant int) T {
	var value T
	f := filler{variant: variant}
	f.fill(reflect.ValueOf(&value).Elem())
	return value
}

// filler sets values by reflection. Each value derives from the number of values set before it.
type filler struct {
	variant  int
	values   int // values set so far
	booleans int // booleans among them
}

// fill sets a value, including the values that it contains.
func (f *filler) fill(v reflect.Value) {
	f.values++
	switch v.Kind() {
	case reflect.Bool:
		f.booleans++
		v.SetBool(f.booleans>>f.variant&1 == 1)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.values))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.values))
	case reflect.Float64:
		v.SetFloat(float64(f.values) + 0.5)
	case reflect.String:
		v.SetString(f.name())
	case reflect.Interface:
		v.Set(reflect.ValueOf(f.name()))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		f.fillSlice(v)
	case reflect.Map:
		key, element := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(element)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, element)
	case reflect.Struct:
		f.fillStruct(v)
	default:
		panic(fmt.Sprintf("golden: cannot fill a value of type %s", v.Type()))
	}
}

// fillSlice sets a slice to one element, and a json.RawMessage to a number.
func (f *filler) fillSlice(v reflect.Value) {
	if v.Type() == reflect.TypeFor[json.RawMessage]() {
		v.SetBytes(fmt.Append(nil, f.values))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), 1, 1))
	f.fill(v.Index(0))
}

func (f *filler) fillStruct(v reflect.Value) {
	for i := range v.NumField() {
		if field := v.Type().Field(i); field.IsExported() || field.Anonymous {
			f.fill(v.Field(i))
		}
	}
}

func (f *filler) name() string { return fmt.Sprintf("j-%d", f.values) }
