// Package table prints rows and JSON values as text for operators.
package table

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// padding is the number of spaces between columns.
const padding = 2

// Table is rows of text under a header. The zero value is empty. It is not safe
// for concurrent use.
type Table struct {
	header []string
	rows   [][]string
}

// New returns a table with the given column names and no rows.
func New(header ...string) *Table {
	return &Table{header: header}
}

// Add appends a row. Empty cells are printed as a dash.
func (t *Table) Add(cells ...string) {
	row := slices.Clone(cells)
	for i, cell := range row {
		if cell == "" {
			row[i] = "-"
		}
	}
	t.rows = append(t.rows, row)
}

// Write writes the table with aligned columns. It fails if w does.
func (t *Table) Write(w io.Writer) error {
	aligned := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	for _, row := range append([][]string{t.header}, t.rows...) {
		if _, err := fmt.Fprintln(aligned, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return aligned.Flush()
}
