package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// absent stands in a table where there is no value.
const absent = "-"

// printer writes results as a table or as JSON.
type printer struct {
	out    io.Writer
	errOut io.Writer
	output Output
}

// table is a result in rows of equal length.
type table struct {
	head []string
	rows [][]string
}

func (t *table) add(cells ...string) {
	for i, cell := range cells {
		if cell == "" {
			cells[i] = absent
		}
	}
	t.rows = append(t.rows, cells)
}

// print writes the document as JSON, or the tables made of it.
func (p printer) print(document any, tables func() []table) error {
	if p.output == OutputJSON {
		encoder := json.NewEncoder(p.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(document)
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
	fmt.Fprintln(writer, strings.Join(t.head, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}

// note writes a line for the operator beside the result.
func (p printer) note(format string, args ...any) {
	fmt.Fprintf(p.errOut, format+"\n", args...)
}
