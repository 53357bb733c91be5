package rounds

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

// ErrScoreMismatch is returned if a report's parts and penalties don't add up to its
// score.
var ErrScoreMismatch = errors.New("parts and penalties don't add up to the day's score")

// maxRoundingError bounds the difference between a report's score and the sum
// of its rounded figures.
const maxRoundingError = 0.002

// Part is a weighted part of the score. Value is the fraction of their benefit that
// some of the requests earned.
type Part struct {
	Name          string
	Weight, Value float64
}

// Penalty is a deduction from the score. Amount is the quantity that is penalized, and
// Cost the resulting deduction.
type Penalty struct {
	Name         string
	Amount, Cost float64
}

// Outcome counts the outcomes of a group of requests. Earned is the fraction of their
// benefit that was earned.
type Outcome struct {
	Name    string  `json:"name"`
	Total   int     `json:"n"`
	InTime  int     `json:"in_aim"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	NotOwed int     `json:"not_owed"`
	Earned  float64 `json:"worth"`
}

// owed returns the number of requests for which benefit was owed.
func (o *Outcome) owed() int { return o.Total - o.NotOwed }

// Loss is one row of the table of lost score.
type Loss struct {
	// Group is the kind of loss, Name identifies it within the group, and Detail
	// gives the counts behind it.
	Group, Name, Detail string
	// Score is the lost score.
	Score float64
}

// Losses lists where a day lost score; the losses and the day's score add up to 1.
// Penalties that round to nothing are omitted. The loss of the report's first part,
// the whole day, is split by class in proportion to lost benefit. weights gives the
// weight of one request of a class; the default is 1.
func Losses(r *Report, weights map[string]float64) ([]Loss, error) {
	var rows []Loss
	score := 1.0
	for i, p := range r.Parts {
		lost := p.Weight * (1 - p.Value)
		score -= lost
		if i == 0 {
			rows = append(rows, splitByClass(lost, r.Classes, weights)...)
			continue
		}
		rows = append(rows, Loss{Group: "parts", Name: p.Name, Score: lost, Detail: fmt.Sprintf("%.3f of their benefit earned, weight %.2f", p.Value, p.Weight)})
	}
	for _, p := range r.Penalties {
		score -= p.Cost
		if p.Cost >= maxRoundingError/4 {
			rows = append(rows, Loss{Group: "prices", Name: p.Name, Score: p.Cost, Detail: fmt.Sprintf("%.0f", p.Amount)})
		}
	}
	if diff := score - r.Score; diff > maxRoundingError || diff < -maxRoundingError {
		return nil, errors.Wrapf(ErrScoreMismatch, "computed %.4f, reported %.4f", score, r.Score)
	}
	return rows, nil
}

// splitByClass splits the loss of the whole day by class.
func splitByClass(lost float64, classes []Outcome, weights map[string]float64) []Loss {
	total := 0.0
	losses := make([]float64, len(classes))
	for i := range classes {
		weight, ok := weights[classes[i].Name]
		if !ok {
			weight = 1
		}
		losses[i] = weight * float64(classes[i].owed()) * (1 - classes[i].Earned)
		total += losses[i]
	}
	rows := make([]Loss, 0, len(classes))
	for i, c := range classes {
		if total == 0 {
			break
		}
		detail := fmt.Sprintf("%d owed: %d late, %d refused, %d failed", c.owed(), c.Late, c.Refused, c.Failed)
		rows = append(rows, Loss{Group: "whole day", Name: c.Name, Score: lost * losses[i] / total, Detail: detail})
	}
	return rows
}

// WriteLosses writes tables of the losses, of the requests lost in each time window,
// and of the last attempts of unserved requests.
func WriteLosses(out io.Writer, r *Report, rows []Loss) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	// The table buffers its output, so that errors are returned by Flush.
	_, _ = fmt.Fprintln(table, "group\tname\tworth lost\tcounts")
	for _, l := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.4f\t%s\n", l.Group, l.Name, l.Score, l.Detail)
	}
	_, _ = fmt.Fprintf(table, "remaining\tworth\t%.4f\t\n\n", r.Score)
	_, _ = fmt.Fprintln(table, "from second\tbenefit earned\trequests lost\tcounts")
	for _, w := range r.Windows {
		lost := float64(w.owed()) * (1 - w.Earned)
		_, _ = fmt.Fprintf(table, "%s\t%.3f\t%.0f\t%d owed: %d late, %d refused, %d failed; %d not owed\n",
			w.Name, w.Earned, lost, w.owed(), w.Late, w.Refused, w.Failed, w.NotOwed)
	}
	_, _ = fmt.Fprintln(table, "\nnot served, last attempt\trequests\t\t")
	for _, c := range r.Unserved {
		_, _ = fmt.Fprintf(table, "%s\t%d\t\t\n", c.Name, c.Requests)
	}
	return table.Flush()
}
