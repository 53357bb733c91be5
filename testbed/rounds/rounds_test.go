package rounds

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestCompareShowsMedians guards against wrong medians, runs of other commits in the
// table, and days that are dropped because they ran only after the change.
func TestCompareShowsMedians(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, dir, "1.json", `{"head":"aaa1","why":"base","site":"s","days":[{"name":"d","G":0.5,"served":0.8}]}`)
	writeFile(t, dir, "2.json", `{"head":"aaa1","why":"base","site":"s","days":[{"name":"d","G":0.7,"served":0.9}]}`)
	writeFile(t, dir, "3.json", `{"head":"bbb2","why":"trial: x","site":"s","days":[{"name":"d","G":0.65,"rules":{"TIER":1}},{"name":"e","G":0.1}]}`)
	writeFile(t, dir, "4.json", `{"head":"ccc3","why":"other","site":"s","days":[{"name":"d","G":0.9}]}`)
	runs, err := ReadJournal(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, after := range []string{"bbb", "trial: x"} {
		var out strings.Builder
		if err := WriteComparisons(&out, Compare(runs, "aaa", after)); err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		if len(lines) != 3 {
			t.Fatalf("got %d lines, want a header and two days: %q", len(lines), lines)
		}
		if got := strings.Join(strings.Fields(lines[1]), " "); got != "s d 2, 1 0.600, 0.650 0.850, 0.000 0.000, 0.000 0.000, 0.000 TIER" {
			t.Errorf("day that ran before and after: %q", got)
		}
		if got := strings.Join(strings.Fields(lines[2]), " "); !strings.HasPrefix(got, "s e 0, 1 -, 0.100") {
			t.Errorf("day that ran only after: %q", got)
		}
	}
}

// TestUnreadableFiles guards against errors that don't wrap ErrUnreadable.
func TestUnreadableFiles(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, dir, "1.json", "{")
	if _, err := ReadJournal(dir); !errors.Is(err, ErrUnreadable) {
		t.Errorf("invalid JSON in a journal: got error %v", err)
	}
	if _, err := ReadReport(filepath.Join(dir, "none")); !errors.Is(err, ErrUnreadable) {
		t.Errorf("missing report: got error %v", err)
	}
}

// TestDraw guards against a picture without its title or legend, and against errors
// that don't wrap ErrDraw.
func TestDraw(t *testing.T) {
	path := writeFile(t, t.TempDir(), "r.json", `{"windows":[{"name":"0","in_aim":245,"late":29,"refused":8},{"name":"2","in_aim":231,"failed":2}]}`)
	r, err := ReadReport(path)
	if err != nil {
		t.Fatal(err)
	}
	picture := filepath.Join(t.TempDir(), "day.svg")
	if err := Draw(picture, "a day", r); err != nil {
		t.Fatal(err)
	}
	drawn, err := os.ReadFile(picture)
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"a day", "in time", "refused", "not owed"} {
		if !strings.Contains(string(drawn), part) {
			t.Errorf("the picture lacks %q", part)
		}
	}
	if err := Draw(picture, "nothing", Report{}); !errors.Is(err, ErrDraw) {
		t.Errorf("report without windows: got error %v", err)
	}
	if err := Draw(picture+".odd", "a day", r); !errors.Is(err, ErrDraw) {
		t.Errorf("unknown file extension: got error %v", err)
	}
}

const dayReport = `{"G":0.65,"parts":[["whole day",0.7,0.8],["worst windows",0.2,0.5],["worst class",0.1,0.7]],
"prices":[["machines",100,0.04],["probes",0,0],["refused again",12.5,0.04]],
"classes":[{"name":"long","n":120,"in_aim":60,"late":20,"refused":15,"failed":5,"not_owed":20,"worth":0.7},{"name":"short","n":100,"in_aim":90,"failed":10,"worth":0.9}],
"windows":[{"name":"0","n":50,"in_aim":40,"refused":10,"worth":0.8}],
"unserved_by":[["503",15,["an example"]],["deadline",5,[]]]}`

// TestLossesAddUp guards against losses that don't add up to the score that a day lost,
// a wrong split by class, and reports whose parts contradict their score.
func TestLossesAddUp(t *testing.T) {
	r, err := ReadReport(writeFile(t, t.TempDir(), "r.json", dayReport))
	if err != nil {
		t.Fatal(err)
	}
	rows, err := Losses(&r, map[string]float64{"long": 2})
	if err != nil {
		t.Fatal(err)
	}
	sum := r.Score
	for _, l := range rows {
		sum += l.Score
	}
	if sum < 0.999 || sum > 1.001 {
		t.Errorf("the losses and the score add up to %v, want 1: %+v", sum, rows)
	}
	// 100 owed "long" requests of weight 2 lost 0.3 of their benefit, and 100
	// "short" ones of weight 1 lost 0.1: a ratio of 6 to 1.
	if long, short := rows[0].Score, rows[1].Score; long < 5.9*short || long > 6.1*short {
		t.Errorf("long lost %v, short %v", long, short)
	}
	var out strings.Builder
	if err := WriteLosses(&out, &r, rows); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"worst windows", "refused again", "100 owed: 20 late, 15 refused, 5 failed", "deadline"} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("the tables lack %q:\n%s", part, out.String())
		}
	}
	r.Score += 0.01
	if _, err := Losses(&r, nil); !errors.Is(err, ErrScoreMismatch) {
		t.Errorf("score that the parts don't add up to: got error %v", err)
	}
	if _, err := ReadReport(writeFile(t, t.TempDir(), "r.json", `{"parts":[["whole day"]]}`)); !errors.Is(err, ErrUnreadable) {
		t.Errorf("part without a value: got error %v", err)
	}
}
