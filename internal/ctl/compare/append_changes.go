package compare

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// indexByName returns copies of items, keyed by name.
func indexByName[T any](items []*T, name func(*T) string) map[string]T {
	out := make(map[string]T, len(items))
	for _, item := range items {
		out[name(item)] = *item
	}
	return out
}

// appendChanges appends the differences between old and next, sorted by name.
// T is a struct type with JSON tags.
func appendChanges[T any](out []Change, kind string, old, next map[string]T) []Change {
	names := map[string]bool{}
	for name := range old {
		names[name] = true
	}
	for name := range next {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		a, inOld := old[name]
		b, inNext := next[name]
		switch {
		case !inOld:
			out = append(out, Change{Kind: kind, Name: name, Action: ActionAdded})
		case !inNext:
			out = append(out, Change{Kind: kind, Name: name, Action: ActionRemoved})
		case !reflect.DeepEqual(a, b):
			out = append(out, Change{Kind: kind, Name: name, Action: ActionChanged, Fields: changedFields(a, b)})
		}
	}
	return out
}

// changedFields returns the fields in which two structs of the same type differ,
// as "field: old -> new" with JSON names.
func changedFields(a, b any) []string {
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	var out []string
	for i := range va.NumField() {
		x, y := va.Field(i).Interface(), vb.Field(i).Interface()
		if !reflect.DeepEqual(x, y) {
			name, _, _ := strings.Cut(va.Type().Field(i).Tag.Get("json"), ",")
			out = append(out, fmt.Sprintf("%s: %v -> %v", name, x, y))
		}
	}
	return out
}
