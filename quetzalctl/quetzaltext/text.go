// Package quetzaltext prints documents as tables for people, or as JSON or YAML for scripts.
package quetzaltext

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

// Format is an output format.
type Format string

// The output formats.
const (
	Table Format = "table"
	JSON  Format = "json"
	YAML  Format = "yaml"
)

// Write writes a document, which must be a struct. A table has a header and a row for each
// element of a list of structs, and a line with name and value for each other field.
func Write(w io.Writer, f Format, doc any) error {
	switch f {
	case JSON:
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return eris.Wrap(encoder.Encode(doc), "write JSON")
	case YAML:
		return eris.Wrap(yaml.NewEncoder(w).Encode(doc), "write YAML")
	case Table:
	}
	return writeTable(w, reflect.Indirect(reflect.ValueOf(doc)))
}

func writeTable(w io.Writer, doc reflect.Value) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	otherFields := 0
	for i := range doc.NumField() {
		if !isStructList(doc.Field(i)) {
			otherFields++
		}
	}
	for i := range doc.NumField() {
		field := doc.Field(i)
		name := doc.Type().Field(i).Name
		if isStructList(field) {
			writeList(t, field)
		} else if otherFields > 0 {
			_, _ = fmt.Fprintf(t, "%s\t%s\n", name, formatCell(field))
		}
	}
	return eris.Wrap(t.Flush(), "write table")
}

func isStructList(v reflect.Value) bool {
	return v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct
}

func writeList(w io.Writer, list reflect.Value) {
	columns := columnPaths(list.Type().Elem(), nil)
	names := make([]string, 0, len(columns))
	for _, c := range columns {
		names = append(names, strings.ToUpper(list.Type().Elem().FieldByIndex(c).Name))
	}
	_, _ = fmt.Fprintln(w, strings.Join(names, "\t"))
	for i := range list.Len() {
		cells := make([]string, 0, len(columns))
		for _, c := range columns {
			cells = append(cells, formatCell(list.Index(i).FieldByIndex(c)))
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
}

// columnPaths returns the index paths of a struct's columns, as for reflect.Value.FieldByIndex.
// The fields of a nested struct take its place.
func columnPaths(t reflect.Type, prefix []int) [][]int {
	var columns [][]int
	for i := range t.NumField() {
		path := append(append([]int{}, prefix...), i)
		if t.Field(i).Type.Kind() == reflect.Struct {
			columns = append(columns, columnPaths(t.Field(i).Type, path)...)
			continue
		}
		columns = append(columns, path)
	}
	return columns
}

// formatCell formats a value for one cell of a table: "-" for nil, commas between elements.
func formatCell(v reflect.Value) string {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return "-"
		}
		return formatCell(v.Elem())
	}
	switch v.Kind() {
	case reflect.Struct:
		return formatStruct(v)
	case reflect.Slice:
		items := make([]string, 0, v.Len())
		for i := range v.Len() {
			items = append(items, formatCell(v.Index(i)))
		}
		return strings.Join(items, ",")
	default:
		return fmt.Sprint(v.Interface())
	}
}

// formatStruct formats a struct as Name=value pairs and omits nil pointers.
func formatStruct(v reflect.Value) string {
	var items []string
	for i := range v.NumField() {
		if v.Field(i).Kind() == reflect.Pointer && v.Field(i).IsNil() {
			continue
		}
		items = append(items, v.Type().Field(i).Name+"="+formatCell(v.Field(i)))
	}
	return strings.Join(items, " ")
}
