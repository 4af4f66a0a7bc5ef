package strictjson

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// decoder stores the values of a syntax tree in a struct and collects the
// problems.
type decoder struct {
	src      *Source
	problems []Problem
}

func (d *decoder) addProblem(v *hujson.Value, pointer string, rule Rule, format string, args ...any) {
	d.problems = append(d.problems, Problem{
		Pointer: pointer,
		Line:    d.src.lineAt(v.StartOffset),
		Rule:    rule,
		Detail:  fmt.Sprintf(format, args...),
	})
}

// decodeValue stores v in into, or adds a problem at the JSON pointer.
func (d *decoder) decodeValue(v *hujson.Value, into reflect.Value, pointer string) {
	switch into.Kind() {
	case reflect.Struct:
		if obj, ok := v.Value.(*hujson.Object); ok {
			d.decodeObject(obj, into, pointer)
			return
		}
	case reflect.Slice:
		if arr, ok := v.Value.(*hujson.Array); ok {
			d.decodeArray(arr, into, pointer)
			return
		}
		// Accept null, because encoding/json encodes a nil slice as null.
		if lit, ok := v.Value.(hujson.Literal); ok && lit.Kind() == 'n' {
			return
		}
	default:
		if lit, ok := v.Value.(hujson.Literal); ok && lit.Kind() != 'n' && json.Unmarshal(lit, into.Addr().Interface()) == nil {
			return
		}
	}
	d.addProblem(v, pointer, RuleWrongType, "%q needs %s", pointer, expectedType(into.Kind()))
}

func (d *decoder) decodeObject(obj *hujson.Object, into reflect.Value, pointer string) {
	fields := fieldIndexes(into.Type())
	seen := map[string]bool{}
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		memberPointer := pointer + "/" + escapeToken(name)
		index, known := fields[name]
		switch {
		case !known:
			d.addProblem(&m.Name, memberPointer, RuleUnknownField, "unknown field %.80q", name)
		case seen[name]:
			d.addProblem(&m.Name, memberPointer, RuleDuplicateField, "field %q appears more than once", name)
		default:
			d.decodeValue(&m.Value, into.Field(index), memberPointer)
		}
		seen[name] = true
	}
}

func (d *decoder) decodeArray(arr *hujson.Array, into reflect.Value, pointer string) {
	into.Set(reflect.MakeSlice(into.Type(), len(arr.Elements), len(arr.Elements)))
	for i := range arr.Elements {
		d.decodeValue(&arr.Elements[i], into.Index(i), fmt.Sprintf("%s/%d", pointer, i))
	}
}

// fieldIndexes maps the JSON names of a struct's fields to their indexes.
func fieldIndexes(t reflect.Type) map[string]int {
	out := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			out[name] = i
		}
	}
	return out
}

// expectedType describes the JSON value that a field of a Go kind needs.
func expectedType(k reflect.Kind) string {
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

var tokenEscaper = strings.NewReplacer("~", "~0", "/", "~1")

// escapeToken escapes a member name for use in a JSON pointer (RFC 6901).
func escapeToken(name string) string { return tokenEscaper.Replace(name) }
