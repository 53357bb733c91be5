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

// hintCheckState is the advice after a change with an unknown outcome.
const hintCheckState = "check the current state (applepier class list) before trying again"

// transportError returns the error for a request without a complete response. A
// change may have taken effect unless the connection could not be established.
func (c *client) transportError(apiReq apiRequest, err error) error {
	if apiReq.isChange() && !isDialError(err) {
		return outcomeUnknown("the response was lost", rootCause(err), err)
	}
	return &program.Error{
		Code:    program.ExitUnreachable,
		Message: fmt.Sprintf("%s does not respond: %s", c.base, rootCause(err)),
		Hint:    "check --admin and that the entry is running, or use any other entry",
		Cause:   err,
	}
}

// outcomeUnknown returns the error for a change that may or may not have taken effect.
// The message says what happened to its response, and why.
func outcomeUnknown(what, why string, cause error) error {
	return &program.Error{
		Code:    program.ExitOutcomeUnknown,
		Message: what + ", the change may or may not have taken effect: " + why,
		Hint:    hintCheckState,
		Cause:   cause,
	}
}

// isDialError reports whether no connection was established, so that nothing
// was sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// rootCause returns the text of the innermost error, or a fixed text for a
// timeout. It omits the address, which the message already contains.
func rootCause(err error) string {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return "no response in time"
	}
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err.Error()
		}
		err = inner
	}
}

// unexpectedResponse returns the error for a successful response that is not valid JSON
// of the administration API.
func (c *client) unexpectedResponse(apiReq apiRequest, err error) error {
	if apiReq.isChange() {
		return outcomeUnknown("the response can't be read", rootCause(err), err)
	}
	return &program.Error{
		Code:    program.ExitFailure,
		Message: fmt.Sprintf("%s did not send a valid administration API response", c.base),
		Hint:    "check that --admin is the admin_listen address of an entry of this version",
		Cause:   err,
	}
}

// responseError converts a response with an error status into an error with an
// exit code and advice for the operator.
func (c *client) responseError(apiReq apiRequest, response *http.Response, body []byte) error {
	var apiError errorResponse
	if err := json.Unmarshal(body, &apiError); err != nil || apiError.Error.Message == "" {
		why := c.base.String() + " responded with " + response.Status
		if apiReq.isChange() && response.StatusCode >= http.StatusInternalServerError {
			// It is a proxy's, which may have passed the change on.
			return outcomeUnknown("the response isn't the entry's", why, err)
		}
		apiError.Error.Message = why
	}
	problem := apiError.Error.Message
	for _, p := range apiError.Problems {
		problem += fmt.Sprintf("\n  %s: %s", p.Field, p.Reason)
	}
	result := &program.Error{Message: problem}
	switch response.StatusCode {
	case http.StatusBadRequest:
		result.Code = program.ExitUsage
		result.Hint = "correct the problems above; nothing was changed"
	case http.StatusUnauthorized, http.StatusForbidden:
		result.Code = program.ExitUnauthorized
		result.Hint = "use the operator key of this fleet (" + envKey + " or --" + flagKeyFile + ")"
	case http.StatusNotFound:
		result.Code = program.ExitNotFound
		result.Hint = "applepier class list shows the names"
	case http.StatusConflict:
		result.Code = program.ExitConflict
		result.Message += describeNewerState(apiError)
		result.Hint = "nothing was changed; look at the newer state and repeat the command if it still applies"
	case http.StatusServiceUnavailable:
		result.Code = program.ExitUnreachable
		result.Hint = "nothing was changed; try again" + retryAfter(response)
	default:
		result.Code = program.ExitFailure
		result.Hint = "see the log of the entry at " + c.base.Host
	}
	if apiError.Error.Code == codeOutcomeUnknown {
		result.Code = program.ExitOutcomeUnknown
		result.Hint = hintCheckState
	}
	return result
}

// retryAfter returns when to retry, in words, from the Retry-After header.
func retryAfter(response *http.Response) string {
	if seconds := response.Header.Get("Retry-After"); seconds != "" {
		return " in " + seconds + " s"
	}
	return " later"
}

// describeNewerState describes the state after another operator's conflicting
// change.
func describeNewerState(apiError errorResponse) string {
	text := fmt.Sprintf("\nthe newer state is version %d", apiError.Version)
	if apiError.Class == nil {
		return text + ", without this class"
	}
	var rows strings.Builder
	p := printer{out: &rows}
	if err := p.printTable(classTable([]classInfo{*apiError.Class})); err != nil {
		return text
	}
	return text + ":\n" + strings.TrimRight(rows.String(), "\n")
}
