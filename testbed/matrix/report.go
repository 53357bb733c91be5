package matrix

import (
	"bytes"
	_ "embed"
	"os"
	"text/template"
	"time"

	"github.com/go-faster/errors"
)

//go:embed report.tmpl
var reportText string

// reportMode is the mode of the written page.
const reportMode = 0o644

// report is what the page is made from.
type report struct {
	Results []Result
	Held    int
	Broken  int
	// Spread is the longest of all cells.
	Spread       time.Duration
	LeavingLimit time.Duration
	ChangeLimit  time.Duration
}

// WriteReport writes the page with the table of cells.
func WriteReport(path string, results []Result) error {
	page, err := template.New("report").Funcs(template.FuncMap{"round": round}).Parse(reportText)
	if err != nil {
		return errors.Wrap(err, "page's template")
	}
	r := report{Results: results, LeavingLimit: leavingLimit, ChangeLimit: changeLimit}
	for _, result := range results {
		r.Spread = max(r.Spread, result.Spread)
		if result.Holds() {
			r.Held++
		} else {
			r.Broken++
		}
	}
	var text bytes.Buffer
	if err := page.Execute(&text, r); err != nil {
		return errors.Wrap(err, "page")
	}
	if err := os.WriteFile(path, text.Bytes(), reportMode); err != nil {
		return errors.Wrap(err, "write page")
	}
	return nil
}

func round(d time.Duration) time.Duration { return d.Round(100 * time.Millisecond) }
