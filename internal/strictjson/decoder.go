package strictjson

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// decoder walks a tree and a struct in parallel.
type decoder struct {
	src      *Source
	problems []Problem
}

func (d *decoder) problem(v *hujson.Value, pointer string, rule Rule, format string, args ...any) {
	d.problems = append(d.problems, Problem{
		Pointer: pointer,
		Line:    d.src.lineAt(v.StartOffset),
		Rule:    rule,
		Detail:  fmt.Sprintf(format, args...),
	})
}

func (d *decoder) value(v *hujson.Value, into reflect.Value, pointer string) {
	switch into.Kind() {
	case reflect.Struct:
		if obj, ok := v.Value.(*hujson.Object); ok {
			d.object(obj, into, pointer)
			return
		}
	case reflect.Slice:
		if arr, ok := v.Value.(*hujson.Array); ok {
			d.array(arr, into, pointer)
			return
		}
		// Go programs encode an empty list as null.
		if lit, ok := v.Value.(hujson.Literal); ok && lit.Kind() == 'n' {
			return
		}
	default:
		if lit, ok := v.Value.(hujson.Literal); ok && lit.Kind() != 'n' && json.Unmarshal(lit, into.Addr().Interface()) == nil {
			return
		}
	}
	d.problem(v, pointer, RuleWrongType, "%q needs %s", pointer, expected(into.Kind()))
}

func (d *decoder) object(obj *hujson.Object, into reflect.Value, pointer string) {
	fields := fieldsOf(into.Type())
	seen := map[string]bool{}
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		at := pointer + "/" + escape(name)
		index, known := fields[name]
		switch {
		case !known:
			d.problem(&m.Name, at, RuleUnknownField, "unknown field %.80q", name)
		case seen[name]:
			d.problem(&m.Name, at, RuleDuplicateField, "field %q appears more than once", name)
		default:
			d.value(&m.Value, into.Field(index), at)
		}
		seen[name] = true
	}
}

func (d *decoder) array(arr *hujson.Array, into reflect.Value, pointer string) {
	into.Set(reflect.MakeSlice(into.Type(), len(arr.Elements), len(arr.Elements)))
	for i := range arr.Elements {
		d.value(&arr.Elements[i], into.Index(i), fmt.Sprintf("%s/%d", pointer, i))
	}
}

// fieldsOf maps the JSON names of a struct to its field indexes.
func fieldsOf(t reflect.Type) map[string]int {
	out := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			out[name] = i
		}
	}
	return out
}

func expected(k reflect.Kind) string {
	switch k {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint64:
		return "a whole number of 0 or more, without a unit"
	default:
		return "a whole number, without a unit"
	}
}

var escaper = strings.NewReplacer("~", "~0", "/", "~1")

func escape(name string) string { return escaper.Replace(name) }
