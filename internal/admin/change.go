package admin

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/targets/store"
)

// Limits of change requests.
const (
	// maxBodyBytes is far more than any resource needs.
	maxBodyBytes = 64 << 10
	// maxWait limits the wait parameter, so that few requests wait at a time.
	maxWait = time.Minute
	// retryAfterSeconds is the Retry-After value sent while the table service
	// is down.
	retryAfterSeconds = "5"
)

// errResourceNotFound reports a change to a class or customer that does not
// exist.
var errResourceNotFound = errors.New("no such class or customer")

// changeRequest holds the parsed parts of a request that changes the targets.
type changeRequest struct {
	// baseVersion is the targets version that the change is based on.
	baseVersion uint64
	// hasBaseVersion is false if the request has no If-Match header.
	hasBaseVersion bool
	// wait is the maximum time to wait until the change is applied. Zero
	// disables waiting.
	wait time.Duration
	body []byte
	// problems lists the validation errors of all parts of the request.
	problems []targets.Problem
}

// parseChangeRequest reads the body, If-Match and the wait parameter. If the
// body is too large, it writes the error response and returns false. Other
// errors are added to the problems of the returned request.
func parseChangeRequest(w http.ResponseWriter, r *http.Request) (*changeRequest, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if _, tooLarge := errors.Into[*http.MaxBytesError](err); tooLarge {
		writeJSON(w, http.StatusRequestEntityTooLarge, newErrorResponse(codeBodyTooLarge, "the body must be at most "+strconv.Itoa(maxBodyBytes)+" bytes"))
		return nil, false
	}
	c := &changeRequest{body: body}
	if err != nil {
		c.addProblem("body", "could not be read")
	}
	c.parseIfMatch(r)
	c.parseWait(r)
	return c, true
}

func (c *changeRequest) parseIfMatch(r *http.Request) {
	values := r.Header.Values("If-Match")
	if len(values) == 0 {
		return
	}
	c.hasBaseVersion = true
	text := strings.Trim(strings.Join(values, ","), `" `)
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		c.addProblem("If-Match", `must be one version, as "7", from the ETag of an answer`)
	}
	c.baseVersion = version
}

func (c *changeRequest) parseWait(r *http.Request) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		c.addProblem("wait", "must be a duration from 0s to "+maxWait.String()+", as 14s")
	}
	c.wait = wait
}

func (c *changeRequest) addProblem(field, reason string) {
	c.problems = append(c.problems, targets.Problem{Field: field, Reason: reason})
}

// rejectInvalid writes an error response if the request has no base version or
// has problems, and reports whether it did.
func (c *changeRequest) rejectInvalid(w http.ResponseWriter) bool {
	if !c.hasBaseVersion {
		response := newErrorResponse(codeVersionRequired, "a change needs If-Match with the version it was made upon, from the ETag of an answer")
		response.Problems = c.problems
		writeJSON(w, http.StatusPreconditionRequired, response)
		return true
	}
	if len(c.problems) > 0 {
		writeProblems(w, c.problems)
		return true
	}
	return false
}

func writeProblems(w http.ResponseWriter, problems []targets.Problem) {
	response := newErrorResponse(codeInvalidRequest, "the request is invalid, nothing was changed")
	response.Problems = problems
	writeJSON(w, http.StatusBadRequest, response)
}

// attachFunc fills the class or customer of a response from set. It leaves both
// unset if the resource does not exist.
type attachFunc func(set *targets.Set, class **classView, customer **customerView)

// applyChange stores the change and writes the response. The response reports
// the change as accepted only after the store has confirmed it, and includes
// apiKey unless that is empty.
func (a *API) applyChange(w http.ResponseWriter, r *http.Request, change *changeRequest, edit func(*targets.Set) error, attach attachFunc, apiKey string) {
	if change.rejectInvalid(w) {
		return
	}
	set, err := a.store.Change(r.Context(), change.baseVersion, edit)
	if err != nil {
		a.writeChangeError(w, err, attach)
		return
	}
	a.targets.UpdateIfNewer(set)
	if a.propagate != nil {
		a.propagate(r.Context(), set.Version)
	}
	a.log.Info(logging.EventTargetsChanged, zap.Uint64("version", set.Version), zap.String("resource", r.URL.Path), zap.String("method", r.Method))
	response := changeResponse{Accepted: true, Version: set.Version, APIKey: apiKey}
	attach(set, &response.Class, &response.Customer)
	if change.wait > 0 {
		response.Propagation = a.awaitPropagation(r.Context(), set.Version, change.wait)
	}
	setETag(w, set.Version)
	writeJSON(w, http.StatusOK, response)
}

func (a *API) writeChangeError(w http.ResponseWriter, err error, attach attachFunc) {
	if conflict, ok := errors.Into[*store.ConflictError](err); ok {
		response := newErrorResponse(codeVersionConflict, err.Error()+"; nothing was changed")
		response.Version = conflict.Newer.Version
		attach(conflict.Newer, &response.Class, &response.Customer)
		setETag(w, conflict.Newer.Version)
		writeJSON(w, http.StatusConflict, response)
		return
	}
	if invalid, ok := errors.Into[*targets.ValidationError](err); ok {
		writeProblems(w, invalid.Problems)
		return
	}
	if unknown, ok := errors.Into[*store.OutcomeUnknownError](err); ok {
		response := newErrorResponse(codeOutcomeUnknown, "the change may or may not have taken effect, or may yet; read the targets again once the table service answers")
		response.Version = unknown.Version
		writeJSON(w, http.StatusGatewayTimeout, response)
		return
	}
	switch {
	case errors.Is(err, errResourceNotFound):
		writeNotFound(w, err.Error())
	case errors.Is(err, store.ErrUnavailable):
		w.Header().Set("Retry-After", retryAfterSeconds)
		writeJSON(w, http.StatusServiceUnavailable, newErrorResponse(codeTableUnavailable, "the table service is down, nothing was changed"))
	case errors.Is(err, store.ErrCorrupt):
		a.log.Error(logging.EventAdminChangeFailed, zap.Error(err))
		writeJSON(w, http.StatusInternalServerError, newErrorResponse(codeInternal, "the stored targets can't be decoded by this entry, nothing was changed"))
	default:
		a.log.Error(logging.EventAdminChangeFailed, zap.Error(err))
		writeJSON(w, http.StatusInternalServerError, newErrorResponse(codeInternal, "the change failed, nothing was changed"))
	}
}
