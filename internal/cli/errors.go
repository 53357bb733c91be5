package cli

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/program"
)

// transportError words the loss of a call or its answer. A change whose answer
// was lost may have been made, unless no connection was made at all.
func (c *client) transportError(call call, err error) error {
	if call.changes() && !neverSent(err) {
		return &program.Error{
			Code:    program.ExitUnknown,
			Problem: "the answer was lost, the change may or may not have been made: " + rootOf(err),
			Advice:  "look at the present state (applepier class list) before trying again",
			Cause:   err,
		}
	}
	return &program.Error{
		Code:    program.ExitUnreachable,
		Problem: fmt.Sprintf("%s does not answer: %s", c.base, rootOf(err)),
		Advice:  "check --admin and that the process runs; any other entry will do as well",
		Cause:   err,
	}
}

func neverSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// rootOf returns the innermost error's text, without the address that the
// message names already.
func rootOf(err error) string {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return "no answer in time"
	}
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err.Error()
		}
		err = inner
	}
}

func (c *client) strangeAnswer(err error) error {
	return &program.Error{
		Code:    program.ExitFailure,
		Problem: fmt.Sprintf("%s did not answer as an administration API does", c.base),
		Advice:  "check that --admin is the admin_listen address of an entry of this version",
		Cause:   err,
	}
}

// refusal words an answer with an error status.
func (c *client) refusal(call call, response *http.Response, body []byte) error {
	var document errorDocument
	if err := json.Unmarshal(body, &document); err != nil || document.Error.Message == "" {
		document.Error.Message = "answered " + response.Status
	}
	problem := document.Error.Message
	for _, p := range document.Problems {
		problem += fmt.Sprintf("\n  %s: %s", p.Field, p.Reason)
	}
	failure := &program.Error{Problem: problem}
	switch response.StatusCode {
	case http.StatusBadRequest:
		failure.Code = program.ExitUsage
		failure.Advice = "correct what is listed; nothing was changed"
	case http.StatusUnauthorized, http.StatusForbidden:
		failure.Code = program.ExitDenied
		failure.Advice = "use the operator's key of this fleet (" + envKey + " or --" + flagKeyFile + ")"
	case http.StatusNotFound:
		failure.Code = program.ExitNotFound
		failure.Advice = "applepier class list shows the names"
	case http.StatusConflict:
		failure.Code = program.ExitConflict
		failure.Problem += newerState(document)
		failure.Advice = "nothing was changed; look at the newer state and repeat the command if it still applies"
	case http.StatusServiceUnavailable:
		failure.Code = program.ExitUnreachable
		failure.Advice = "nothing was changed; try again" + retryAfter(response)
	default:
		failure.Code = program.ExitFailure
		failure.Advice = "see the log of the entry at " + c.base.Host
	}
	if document.Error.Code == codeOutcomeUnknown {
		failure.Code = program.ExitUnknown
		failure.Advice = "look at the present state (applepier class list) before trying again"
	}
	return failure
}

func retryAfter(response *http.Response) string {
	if after := response.Header.Get("Retry-After"); after != "" {
		return " in " + after + " s"
	}
	return " later"
}

// newerState shows what another operator's change has left.
func newerState(document errorDocument) string {
	text := fmt.Sprintf("\nthe newer state is version %d", document.Version)
	if document.Class == nil {
		return text + ", without this class"
	}
	var rows strings.Builder
	p := printer{out: &rows}
	if err := p.printTable(classTable([]classDocument{*document.Class})); err != nil {
		return text
	}
	return text + ":\n" + strings.TrimRight(rows.String(), "\n")
}
