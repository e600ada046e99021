// Package golden compares the output of a test with a file written by an earlier version of the program, and fills
// values of any type with distinct data for such files. Only tests import it.
//
// The files are in testdata/golden next to the test. They hold formats that another process or a later version reads,
// so a difference is a change of the format and not a reason to write the file again. GOLDEN_UPDATE=1 writes missing
// files and leaves the others unchanged.
package golden

import (
	"bytes"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"testing"
)

const folder = "testdata/golden"

// Read returns the golden file of that name.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	want, err := os.ReadFile(filepath.Join(folder, name))
	if err != nil {
		t.Fatal(err)
	}
	return want
}

// Check fails the test unless got equals the golden file of that name byte for byte.
func Check(t testing.TB, name string, got []byte) {
	t.Helper()
	path := filepath.Join(folder, name)
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) && os.Getenv("GOLDEN_UPDATE") != "" {
		if err := errors.Join(os.MkdirAll(folder, 0o755), os.WriteFile(path, got, 0o644)); err != nil {
			t.Fatal(err)
		}
	}
	if want := Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s has changed its format:\ngot  %.2000q\nwant %.2000q", name, got, want)
	}
}

// JSON checks the JSON format of T: a value with every field set is encoded as in the golden file, and the file is
// decoded and encoded to the same bytes.
func JSON[T any](t testing.TB, name string) {
	t.Helper()
	var filled T
	Fill(&filled)
	Check(t, name, marshal(t, filled))
	var read T
	if err := json.Unmarshal(Read(t, name), &read); err != nil {
		t.Fatalf("%s can no longer be decoded: %v", name, err)
	}
	Check(t, name, marshal(t, read))
}

func marshal(t testing.TB, v any) []byte {
	t.Helper()
	body, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return append(body, '\n')
}

// Fill sets every exported field of the value that v points to, recursively: numbers count up in the order of the
// fields, and slices and maps get one entry. Equal types get equal values.
func Fill(v any) {
	next := 0
	fill(reflect.ValueOf(v).Elem(), &next)
}

func fill(v reflect.Value, next *int) {
	*next++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*next))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*next))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	case reflect.String:
		v.SetString("text-" + strconv.Itoa(*next))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), next)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), next)
			}
		}
	case reflect.Slice:
		fillSlice(v, next)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, next)
		fill(value, next)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	}
}

func fillSlice(v reflect.Value, next *int) {
	if v.Type() == reflect.TypeFor[json.RawMessage]() {
		v.SetBytes([]byte(strconv.Itoa(*next)))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), 1, 1))
	fill(v.Index(0), next)
}
