package golden

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
)

// EncodeValues encodes v as nested JSON lists of field values without the names of the fields. It
// requires every field to be set.
func EncodeValues(t testing.TB, v any) []byte {
	t.Helper()
	text, err := json.MarshalIndent(nestedValues(t, reflect.ValueOf(v)), "", "  ")
	require.NoError(t, err)
	return text
}

// nestedValues converts v to nested lists of the values of its fields and elements.
func nestedValues(t testing.TB, v reflect.Value) any {
	t.Helper()
	require.False(t, v.IsZero(), "a field of type %v is not set", v.Type())
	var list []any
	switch v.Kind() {
	case reflect.Pointer:
		return nestedValues(t, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			list = append(list, nestedValues(t, v.Field(i)))
		}
		return list
	case reflect.Slice:
		for i := range v.Len() {
			list = append(list, nestedValues(t, v.Index(i)))
		}
		return list
	default:
		return v.Interface()
	}
}
