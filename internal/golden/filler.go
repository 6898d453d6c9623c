package golden

import (
	"encoding/json"
	"fmt"
	"reflect"

	"lilacrill/wire"
)

// Filler sets every field of a value to something other than its zero value. The values depend
// only on the types that are filled and their order, so that they are the same in every run.
type Filler struct {
	count  int
	length int
	makers map[reflect.Type]func(number int) reflect.Value
}

// NewFiller returns a filler that fills slices with length elements. It has makers for the types of
// package wire that allow only certain values.
func NewFiller(length int) *Filler {
	f := &Filler{length: length, makers: map[reflect.Type]func(int) reflect.Value{}}
	RegisterMaker(f, func(n int) json.RawMessage { return json.RawMessage(fmt.Sprintf(`{"n":%d}`, n)) })
	RegisterMaker(f, func(n int) wire.JobID { return wire.JobID(fmt.Sprintf("wk-%06d", n)) })
	RegisterMaker(f, func(int) wire.Format { return 3 })
	RegisterMaker(f, func(int) wire.Shape { return wire.ShapeGang })
	RegisterMaker(f, func(int) wire.Priority { return wire.PriorityHigh })
	RegisterMaker(f, func(int) wire.Status { return wire.StatusRunning })
	RegisterMaker(f, func(int) wire.TaskState { return wire.TaskExited })
	RegisterMaker(f, func(int) wire.Cause { return wire.CauseStopped })
	RegisterMaker(f, func(int) wire.Verb { return wire.VerbLaunch })
	RegisterMaker(f, func(int) wire.MachineStatus { return wire.MachineRunning })
	return f
}

// RegisterMaker makes the filler call makeValue for values of type T, each time with a different
// number.
func RegisterMaker[T any](f *Filler, makeValue func(number int) T) {
	f.makers[reflect.TypeFor[T]()] = func(number int) reflect.Value { return reflect.ValueOf(makeValue(number)) }
}

// Fill fills the value to which target points.
func (f *Filler) Fill(target any) { f.fill(reflect.ValueOf(target).Elem()) }

func (f *Filler) fill(v reflect.Value) {
	if makeValue, ok := f.makers[v.Type()]; ok {
		v.Set(makeValue(f.nextNumber()))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(f.nextNumber()))
	case reflect.Uint64:
		v.SetUint(uint64(f.nextNumber()))
	case reflect.Float64:
		v.SetFloat(float64(f.nextNumber()) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("text-%d", f.nextNumber()))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			f.fill(v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), f.length, f.length))
		for i := range f.length {
			f.fill(v.Index(i))
		}
	case reflect.Map:
		f.fillMap(v)
	default:
		panic(fmt.Sprintf("golden: no way to fill a value of type %v", v.Type()))
	}
}

// fillMap sets v to a map with one filled entry.
func (f *Filler) fillMap(v reflect.Value) {
	key := reflect.New(v.Type().Key()).Elem()
	f.fill(key)
	element := reflect.New(v.Type().Elem()).Elem()
	f.fill(element)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, element)
}

// nextNumber returns a number that it has not returned before.
func (f *Filler) nextNumber() int {
	f.count++
	return f.count
}
