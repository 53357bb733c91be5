package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// emptyCell is printed in table cells that have no value.
const emptyCell = "-"

// printer prints results as tables or as JSON.
type printer struct {
	out    io.Writer
	errOut io.Writer
	format OutputFormat
}

// table is a header and rows of the same length.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...string) {
	for i, cell := range cells {
		if cell == "" {
			cells[i] = emptyCell
		}
	}
	t.rows = append(t.rows, cells)
}

// print writes result as JSON or writes the tables, depending on the output
// format.
func (p printer) print(result any, tables func() []table) error {
	if p.format == OutputJSON {
		encoder := json.NewEncoder(p.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	for i, t := range tables() {
		if i > 0 {
			fmt.Fprintln(p.out)
		}
		if err := p.printTable(t); err != nil {
			return err
		}
	}
	return nil
}

func (p printer) printTable(t table) error {
	const minWidth, tabWidth, padding = 0, 8, 2
	writer := tabwriter.NewWriter(p.out, minWidth, tabWidth, padding, ' ', 0)
	fmt.Fprintln(writer, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}

// notef writes a formatted line to standard error, so that standard output holds
// only the result.
func (p printer) notef(format string, args ...any) {
	fmt.Fprintf(p.errOut, format+"\n", args...)
}
