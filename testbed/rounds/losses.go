package rounds

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

// ErrDoesNotAddUp: a report's parts and prices don't make its worth.
var ErrDoesNotAddUp = errors.New("parts and prices don't add up to the day's worth")

// mostOff is by how much a report's rounded figures may miss its worth.
const mostOff = 0.002

// Part is a share of the worth that is taken over some of the requests.
type Part struct {
	Name          string
	Weight, Value float64
}

// Price is what is taken off.
type Price struct {
	Name         string
	Amount, Cost float64
}

// Outcome counts what became of a group of requests, and Worth is the part of
// their benefit that was earned.
type Outcome struct {
	Name    string  `json:"name"`
	Asked   int     `json:"n"`
	InTime  int     `json:"in_aim"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	NotOwed int     `json:"not_owed"`
	Worth   float64 `json:"worth"`
}

// owed counts the requests that benefit was owed for.
func (o *Outcome) owed() int { return o.Asked - o.NotOwed }

// Loss is one row of the table: worth that a day lost.
type Loss struct {
	// Of is what it is a part of, Name which, and Detail the counts behind it.
	Of, Name, Detail string
	Worth            float64
}

// Losses tells where a day's worth was lost; the rows and the day's worth make 1.
// What the whole day lost is split by class, by how much of their benefit they
// lost: weights are what one request of a class counts for, 1 where there is
// none.
func Losses(r *Report, weights map[string]float64) ([]Loss, error) {
	var rows []Loss
	left := 1.0
	for i, p := range r.Parts {
		lost := p.Weight * (1 - p.Value)
		left -= lost
		if i == 0 {
			rows = append(rows, byClass(lost, r.Classes, weights)...)
			continue
		}
		rows = append(rows, Loss{Of: "parts", Name: p.Name, Worth: lost, Detail: fmt.Sprintf("%.3f of their benefit earned, weight %.2f", p.Value, p.Weight)})
	}
	for _, p := range r.Prices {
		left -= p.Cost
		if p.Cost >= mostOff/4 {
			rows = append(rows, Loss{Of: "prices", Name: p.Name, Worth: p.Cost, Detail: fmt.Sprintf("%.0f", p.Amount)})
		}
	}
	if off := left - r.Worth; off > mostOff || off < -mostOff {
		return nil, errors.Wrapf(ErrDoesNotAddUp, "%.4f and %.4f", left, r.Worth)
	}
	return rows, nil
}

// byClass splits what the whole day lost.
func byClass(lost float64, classes []Outcome, weights map[string]float64) []Loss {
	all := 0.0
	each := make([]float64, len(classes))
	for i := range classes {
		weight, ok := weights[classes[i].Name]
		if !ok {
			weight = 1
		}
		each[i] = weight * float64(classes[i].owed()) * (1 - classes[i].Worth)
		all += each[i]
	}
	rows := make([]Loss, 0, len(classes))
	for i, c := range classes {
		if all == 0 {
			break
		}
		detail := fmt.Sprintf("%d owed: %d late, %d refused, %d failed", c.owed(), c.Late, c.Refused, c.Failed)
		rows = append(rows, Loss{Of: "whole day", Name: c.Name, Worth: lost * each[i] / all, Detail: detail})
	}
	return rows
}

// WriteLosses prints the rows, what the whole day lost by moment, and how the
// requests ended that weren't served.
func WriteLosses(out io.Writer, r *Report, rows []Loss) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	// What is written goes into the table's buffer, and fails when it is flushed.
	_, _ = fmt.Fprintln(table, "of\twhat\tworth lost\tcounts")
	for _, l := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.4f\t%s\n", l.Of, l.Name, l.Worth, l.Detail)
	}
	_, _ = fmt.Fprintf(table, "left\tworth\t%.4f\t\n\n", r.Worth)
	_, _ = fmt.Fprintln(table, "from second\tbenefit earned\trequests lost\tcounts")
	for _, w := range r.Windows {
		lost := float64(w.owed()) * (1 - w.Worth)
		_, _ = fmt.Fprintf(table, "%s\t%.3f\t%.0f\t%d owed: %d late, %d refused, %d failed; %d not owed\n",
			w.Name, w.Worth, lost, w.owed(), w.Late, w.Refused, w.Failed, w.NotOwed)
	}
	_, _ = fmt.Fprintln(table, "\nnot served, last try\trequests\t\t")
	for _, c := range r.Unserved {
		_, _ = fmt.Fprintf(table, "%s\t%d\t\t\n", c.Name, c.Requests)
	}
	return table.Flush()
}
