// Command standin plays the cases of review/: it starts the project's gateways as separate
// processes, stands in for the platform's store, the engines and the consumers, and writes a record
// of what was sent, answered and run. Its exit code is 1 if the rule of the case was broken, 0 if it
// held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases maps the names of the cases to their functions. Each reports whether its rule was broken.
var cases = map[string]func(r *run) (broken bool, err error){
	"frozen-gateway": frozenGateway,
	"leaving-engine": leavingEngine,
	"reset-answers":  resetAnswers,
	"late-readers":   lateReaders,
	"worked-twice":   workedTwice,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		engineMain(os.Args[2:])
		return
	}
	os.Exit(playCase())
}

func playCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return 2
	}
	r, err := newRun(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	// The limit of a case is 120 seconds.
	time.AfterFunc(110*time.Second, func() {
		r.note("the case took too long")
		r.close()
		os.Exit(2)
	})
	broken, err := cases[os.Args[1]](r)
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return 2
	case broken:
		r.note("RESULT: the rule was broken")
		return 1
	}
	r.note("RESULT: the rule held")
	return 0
}
