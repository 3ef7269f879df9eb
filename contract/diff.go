package contract

import (
	"fmt"
	"reflect"
	"sort"
)

// Difference is a workspace or service that differs between two catalogues.
type Difference struct {
	Object string `json:"object"`           // "workspace broker-desk"
	Change string `json:"change"`           // added, removed or changed
	Fields string `json:"fields,omitempty"` // of a changed object, separated by ", "
}

// String formats d like "workspace broker-desk: changed (limits, weight)".
func (d Difference) String() string {
	if d.Fields == "" {
		return d.Object + ": " + d.Change
	}
	return fmt.Sprintf("%s: %s (%s)", d.Object, d.Change, d.Fields)
}

// Diff returns the differences from a to b, sorted by object.
func Diff(a, b Catalogue) []Difference {
	out := diffObjects("workspace", a.Workspaces, b.Workspaces, func(w Workspace) string { return w.Name })
	out = append(out, diffObjects("service", a.Services, b.Services, func(s Service) string { return s.Name })...)
	sort.Slice(out, func(i, j int) bool { return out[i].Object < out[j].Object })
	return out
}

func diffObjects[T any](kind string, a, b []T, name func(T) string) []Difference {
	oldByName := make(map[string]T, len(a))
	for _, o := range a {
		oldByName[name(o)] = o
	}
	var out []Difference
	for _, o := range b {
		old, existed := oldByName[name(o)]
		delete(oldByName, name(o))
		object := kind + " " + name(o)
		if !existed {
			out = append(out, Difference{Object: object, Change: "added"})
			continue
		}
		if fields := changedFields(old, o); fields != "" {
			out = append(out, Difference{Object: object, Change: "changed", Fields: fields})
		}
	}
	for removed := range oldByName {
		out = append(out, Difference{Object: kind + " " + removed, Change: "removed"})
	}
	return out
}

// changedFields returns the YAML names of the fields that differ, separated by ", ".
func changedFields[T any](a, b T) string {
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	names := ""
	for i := range va.NumField() {
		if sameValue(va.Field(i), vb.Field(i)) {
			continue
		}
		if names != "" {
			names += ", "
		}
		names += va.Type().Field(i).Tag.Get("yaml")
	}
	return names
}

// sameValue reports whether a and b are equal; a nil and an empty slice are equal.
func sameValue(a, b reflect.Value) bool {
	if a.Kind() == reflect.Slice && a.Len() == 0 && b.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(a.Interface(), b.Interface())
}
