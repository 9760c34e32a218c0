package table

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fastjson"
)

// Rows collects JSON objects that become the rows of one table. The zero value
// is empty. It is not safe for concurrent use.
type Rows struct {
	columns []string
	rows    []namedRow
}

type namedRow struct {
	name  string
	cells map[string]string
}

// AddJSON adds a row with the scalar fields of a JSON object. It fails, and adds
// nothing, if data is not a JSON object.
func (r *Rows) AddJSON(name string, data []byte) error {
	value, err := fastjson.ParseBytes(data)
	if err != nil {
		return errors.Wrap(err, "table: read JSON")
	}
	if value.Type() != fastjson.TypeObject {
		return errors.Newf("table: JSON %s, but an object is needed", value.Type())
	}
	row := namedRow{name: name, cells: map[string]string{}}
	for _, f := range fields(value) {
		if isScalar(f.value) {
			r.addColumn(f.name)
			row.cells[f.name] = scalarText(f.value)
		}
	}
	r.rows = append(r.rows, row)
	return nil
}

// AddText adds a row with one cell, in the given column.
func (r *Rows) AddText(name, column, text string) {
	r.addColumn(column)
	r.rows = append(r.rows, namedRow{name: name, cells: map[string]string{column: text}})
}

// Table returns a table with one column for each field of any row, after a first column
// that holds the names of the rows under title.
func (r *Rows) Table(title string) *Table {
	t := New(append([]string{title}, r.columns...)...)
	for _, row := range r.rows {
		cells := []string{row.name}
		for _, column := range r.columns {
			cells = append(cells, row.cells[column])
		}
		t.Add(cells...)
	}
	return t
}

func (r *Rows) addColumn(name string) {
	if !slices.Contains(r.columns, name) {
		r.columns = append(r.columns, name)
	}
}
