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
var reportTemplate string

// reportFileMode is the file mode of the report.
const reportFileMode = 0o644

// reportData holds the data of the report's template.
type reportData struct {
	Results []Result
	Passed  int
	Failed  int
	// Propagation is the longest propagation time of a change of targets in any cell.
	Propagation   time.Duration
	DrainingLimit time.Duration
	ChangeLimit   time.Duration
}

// WriteReport writes the report with the table of cells to path.
func WriteReport(path string, results []Result) error {
	tmpl, err := template.New("report").Funcs(template.FuncMap{"round": round}).Parse(reportTemplate)
	if err != nil {
		return errors.Wrap(err, "parse report template")
	}
	data := reportData{Results: results, DrainingLimit: drainingLimit, ChangeLimit: changeLimit}
	for _, result := range results {
		data.Propagation = max(data.Propagation, result.Propagation)
		if result.Passed() {
			data.Passed++
		} else {
			data.Failed++
		}
	}
	var text bytes.Buffer
	if err := tmpl.Execute(&text, data); err != nil {
		return errors.Wrap(err, "render report")
	}
	if err := os.WriteFile(path, text.Bytes(), reportFileMode); err != nil {
		return errors.Wrap(err, "write report")
	}
	return nil
}

func round(d time.Duration) time.Duration { return d.Round(100 * time.Millisecond) }
