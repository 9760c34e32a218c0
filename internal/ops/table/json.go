package table

import (
	"cmp"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fastjson"
)

// field is one field of a JSON object.
type field struct {
	name  string
	value *fastjson.Value
}

// WriteJSON writes a JSON value as text: scalar fields of an object as "name
// value" lines, lists of objects and objects of objects as tables, other fields
// indented. It fails if data is not JSON or w fails.
func WriteJSON(w io.Writer, data []byte) error {
	value, err := fastjson.ParseBytes(data)
	if err != nil {
		return errors.Wrap(err, "table: read JSON")
	}
	var b strings.Builder
	writeValue(&b, value)
	_, err = io.WriteString(w, b.String())
	return err
}

func writeValue(b *strings.Builder, value *fastjson.Value) {
	switch rows, _ := rowsOf(value); {
	case value.Type() == fastjson.TypeObject:
		writeObject(b, value, "")
	case len(rows) > 0:
		writeTable(b, rows, false, "")
	case value.Type() == fastjson.TypeArray:
		b.WriteString("none\n")
	default:
		fmt.Fprintln(b, scalarText(value))
	}
}

func writeObject(b *strings.Builder, object *fastjson.Value, indent string) {
	var nested []field
	scalars := &Table{}
	for _, f := range fields(object) {
		if isScalar(f.value) {
			scalars.Add(indent+f.name, scalarText(f.value))
			continue
		}
		nested = append(nested, f)
	}
	writeRows(b, scalars)
	for _, f := range nested {
		writeNested(b, f, indent)
	}
}

func writeNested(b *strings.Builder, f field, indent string) {
	rows, keyed := rowsOf(f.value)
	if len(fields(f.value)) == 0 && len(rows) == 0 {
		fmt.Fprintf(b, "%s%s: none\n", indent, f.name)
		return
	}
	fmt.Fprintf(b, "%s%s:\n", indent, f.name)
	switch {
	case rows != nil:
		writeTable(b, rows, keyed, indent+"  ")
	default:
		writeObject(b, f.value, indent+"  ")
	}
}

// rowsOf returns the elements of a list, or the fields of an object whose fields are
// all objects. Rows from an object are keyed by the names of its fields. rows is nil for
// other values and for empty ones.
func rowsOf(value *fastjson.Value) (rows []field, keyed bool) {
	if value.Type() == fastjson.TypeArray {
		for i, element := range value.GetArray() {
			rows = append(rows, field{name: fmt.Sprint(i), value: element})
		}
		return rows, false
	}
	for _, f := range fields(value) {
		if f.value.Type() != fastjson.TypeObject {
			return nil, true
		}
		rows = append(rows, f)
	}
	return rows, true
}

func writeTable(b *strings.Builder, rows []field, keyed bool, indent string) {
	columns := columnsOf(rows)
	t := &Table{}
	if len(columns) > 0 {
		t.Add(tableRow(indent, keyed, "", columns)...)
	}
	for _, row := range rows {
		t.Add(tableRow(indent, keyed, row.name, cells(row.value, columns))...)
	}
	writeRows(b, t)
}

// tableRow returns the cells of a row, after its name if the row is keyed.
func tableRow(indent string, keyed bool, name string, cells []string) []string {
	if keyed {
		return append([]string{indent + name}, cells...)
	}
	if len(cells) == 0 {
		return []string{indent + "{}"}
	}
	return append([]string{indent + cmp.Or(cells[0], "-")}, cells[1:]...)
}

// columnsOf returns the names of all fields of the rows in the order in which they
// first appear.
func columnsOf(rows []field) []string {
	var columns []string
	seen := map[string]bool{}
	for _, row := range rows {
		for _, f := range flatten(row.value) {
			if !seen[f.name] {
				seen[f.name] = true
				columns = append(columns, f.name)
			}
		}
	}
	return columns
}

// flatten returns the fields of an object. A field that is an object itself is replaced
// by its own fields, with names such as "outer.inner".
func flatten(object *fastjson.Value) []field {
	var all []field
	for _, outer := range fields(object) {
		inner := fields(outer.value)
		if len(inner) == 0 {
			all = append(all, outer)
		}
		for _, f := range inner {
			all = append(all, field{name: outer.name + "." + f.name, value: f.value})
		}
	}
	return all
}

func cells(row *fastjson.Value, columns []string) []string {
	if row.Type() != fastjson.TypeObject {
		return []string{scalarText(row)}
	}
	values := map[string]string{}
	for _, f := range flatten(row) {
		values[f.name] = scalarText(f.value)
	}
	texts := make([]string, len(columns))
	for i, column := range columns {
		texts[i] = values[column]
	}
	return texts
}

// fields returns the fields of an object in the order of the text, and none if object is
// another kind of value.
func fields(object *fastjson.Value) []field {
	var all []field
	if o, err := object.Object(); err == nil {
		o.Visit(func(key []byte, value *fastjson.Value) {
			all = append(all, field{name: string(key), value: value})
		})
	}
	return all
}

func isScalar(value *fastjson.Value) bool {
	return value.Type() != fastjson.TypeObject && value.Type() != fastjson.TypeArray
}

func scalarText(value *fastjson.Value) string {
	switch value.Type() {
	case fastjson.TypeString:
		return string(value.GetStringBytes())
	case fastjson.TypeNull:
		return "-"
	default:
		return value.String()
	}
}

// writeRows writes rows without a header.
func writeRows(b *strings.Builder, t *Table) {
	if len(t.rows) == 0 {
		return
	}
	// A strings.Builder does not fail.
	_ = (&Table{header: t.rows[0], rows: t.rows[1:]}).Write(b)
}
