package golden

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
)

// Values is what v holds as nested JSON lists, field by field and without any names. It
// requires every field to hold something.
func Values(t testing.TB, v any) []byte {
	t.Helper()
	text, err := json.MarshalIndent(values(t, reflect.ValueOf(v)), "", "  ")
	require.NoError(t, err)
	return text
}

func values(t testing.TB, v reflect.Value) any {
	t.Helper()
	require.False(t, v.IsZero(), "a field of type %v holds nothing", v.Type())
	var list []any
	switch v.Kind() {
	case reflect.Pointer:
		return values(t, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			list = append(list, values(t, v.Field(i)))
		}
		return list
	case reflect.Slice:
		for i := range v.Len() {
			list = append(list, values(t, v.Index(i)))
		}
		return list
	default:
		return v.Interface()
	}
}
