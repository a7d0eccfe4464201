// Package wiretest checks in tests that structs keep their JSON form: the text that is stored, or sent to processes of
// other builds, must not depend on the names of Go fields.
package wiretest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// recordEnv is the environment variable that has Check write the recordings instead of comparing with them. The tests
// then fail, so that a run that records is not taken for a pass.
const recordEnv = "WIRETEST_RECORD"

var (
	timeType = reflect.TypeFor[time.Time]()
	rawType  = reflect.TypeFor[json.RawMessage]()
)

// Check compares the JSON form of each type, given by a pointer to it, with its recording testdata/encoded/TYPE.json.
// A recording has two values: one with all fields filled and the zero value, which shows what is left out when empty.
// Both are also decoded from the recording and encoded again. Each exported field needs a tag with a name.
func Check(t *testing.T, samples ...any) {
	t.Helper()
	for _, sample := range samples {
		typ := reflect.TypeOf(sample).Elem()
		t.Run(typ.Name(), func(t *testing.T) {
			for _, field := range untagged(typ) {
				if os.Getenv(recordEnv) == "" {
					t.Errorf("%s: no json tag with a name", field)
				}
			}
			filled := reflect.New(typ)
			f := filler{}
			f.fill(t, filled.Elem(), typ.Name())
			got := append(encode(t, filled.Interface()), encode(t, reflect.New(typ).Interface())...)

			path := filepath.Join("testdata", "encoded", typ.Name()+".json")
			if os.Getenv(recordEnv) != "" {
				if err := write(path, got); err != nil {
					t.Fatal(err)
				}
				t.Fatalf("%s: recorded, not compared", path)
			}
			want, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got, want) {
				t.Errorf("%s: the JSON form has changed; it is now\n%s", path, got)
			}
			var again []byte
			for d := json.NewDecoder(bytes.NewReader(want)); d.More(); {
				v := reflect.New(typ)
				if err := d.Decode(v.Interface()); err != nil {
					t.Fatalf("%s: %v", path, err)
				}
				again = append(again, encode(t, v.Interface())...)
			}
			if !bytes.Equal(again, want) {
				t.Errorf("%s: decoded and encoded again it is\n%s", path, again)
			}
		})
	}
}

func write(path string, text []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

func encode(t *testing.T, v any) []byte {
	t.Helper()
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

// custom tells whether a type has a JSON form of its own, of which its fields say nothing.
func custom(typ reflect.Type) bool {
	for _, method := range []string{"MarshalJSON", "MarshalText"} {
		if _, ok := reflect.PointerTo(typ).MethodByName(method); ok {
			return true
		}
	}
	return false
}

// untagged returns the exported fields without a tag that names them, in all structs that a value of the type encodes.
func untagged(typ reflect.Type) (fields []string) {
	seen := map[reflect.Type]bool{}
	var walk func(reflect.Type, string, bool)
	walk = func(typ reflect.Type, path string, embedded bool) {
		switch typ.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
			if typ.Kind() == reflect.Map {
				walk(typ.Key(), path, false)
			}
			walk(typ.Elem(), path, embedded)
		case reflect.Struct:
			if seen[typ] || custom(typ) && !embedded {
				return
			}
			seen[typ] = true
			if typ.Name() != "" {
				path = typ.String()
			}
			for i := range typ.NumField() {
				f := typ.Field(i)
				tag := f.Tag.Get("json")
				name, _, _ := strings.Cut(tag, ",")
				if tag == "-" || !f.IsExported() && !f.Anonymous {
					continue
				}
				if !f.Anonymous && name == "" {
					fields = append(fields, path+"."+f.Name)
				}
				walk(f.Type, path+"."+f.Name, f.Anonymous)
			}
		}
	}
	walk(typ, typ.String(), false)
	return fields
}

// filler gives each value that it fills a different number.
type filler struct {
	n    int
	open []reflect.Type // the structs that are being filled: a struct nested in itself is left empty
}

func (f *filler) fill(t *testing.T, v reflect.Value, path string) {
	f.n++
	switch typ := v.Type(); {
	case typ == timeType:
		v.Set(reflect.ValueOf(time.Unix(1_700_000_000+int64(f.n), int64(f.n)).UTC()))
		return
	case typ == rawType:
		v.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, f.n))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", f.n))
	case reflect.Int8:
		v.SetInt(int64(f.n%127 + 1))
	case reflect.Int, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.n))
	case reflect.Uint8:
		v.SetUint(uint64(f.n%255 + 1))
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.n))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.n) + 0.5)
	case reflect.Pointer:
		if slices.Contains(f.open, v.Type().Elem()) {
			return
		}
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(t, v.Elem(), path)
	case reflect.Slice:
		if slices.Contains(f.open, v.Type().Elem()) {
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			f.fill(t, v.Index(i), path)
		}
	case reflect.Array:
		for i := range v.Len() {
			f.fill(t, v.Index(i), path)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range 2 {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			f.fill(t, key, path)
			f.fill(t, value, path)
			v.SetMapIndex(key, value)
		}
	case reflect.Struct:
		f.open = append(f.open, v.Type())
		for i := range v.NumField() {
			field := v.Type().Field(i)
			if field.Tag.Get("json") == "-" || !field.IsExported() && (!field.Anonymous || field.Type.Kind() != reflect.Struct) {
				continue
			}
			f.fill(t, v.Field(i), path+"."+field.Name)
		}
		f.open = f.open[:len(f.open)-1]
	default:
		t.Fatalf("%s: a %s cannot be filled", path, v.Type())
	}
}
