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

// Bounds of a request.
const (
	// maxBody is far more than any resource needs.
	maxBody = 64 << 10
	// maxWait bounds the wait option, so that waiting requests stay few.
	maxWait = time.Minute
	// retryAfter is when to come back while the table service is down, in
	// seconds.
	retryAfter = "5"
)

// errNoResource: the change is about a class or customer that isn't there.
var errNoResource = errors.New("no such class or customer")

// change is one request to change the targets.
type change struct {
	// base is the version that the change was made upon.
	base uint64
	// hasBase is false when the request names none.
	hasBase bool
	// wait is how long to wait until the change is in force; zero for not.
	wait time.Duration
	body []byte
	// problems are what is wrong with all of these.
	problems []targets.Problem
}

// readChange reads the parts that all changes have. It reports false after it
// has answered itself.
func readChange(w http.ResponseWriter, r *http.Request) (*change, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if _, tooLarge := errors.Into[*http.MaxBytesError](err); tooLarge {
		writeJSON(w, http.StatusRequestEntityTooLarge, newError(codeTooLarge, "the body must be at most "+strconv.Itoa(maxBody)+" bytes"))
		return nil, false
	}
	c := &change{body: body}
	if err != nil {
		c.problem("body", "could not be read")
	}
	c.readBase(r)
	c.readWait(r)
	return c, true
}

func (c *change) readBase(r *http.Request) {
	values := r.Header.Values("If-Match")
	if len(values) == 0 {
		return
	}
	c.hasBase = true
	text := strings.Trim(strings.Join(values, ","), `" `)
	base, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		c.problem("If-Match", `must be one version, as "7", from the ETag of an answer`)
	}
	c.base = base
}

func (c *change) readWait(r *http.Request) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		c.problem("wait", "must be a duration from 0s to "+maxWait.String()+", as 14s")
	}
	c.wait = wait
}

func (c *change) problem(field, reason string) {
	c.problems = append(c.problems, targets.Problem{Field: field, Reason: reason})
}

// refused answers a request that can't be tried, and reports that it did.
func (c *change) refused(w http.ResponseWriter) bool {
	if !c.hasBase {
		answer := newError(codeNoVersion, "a change needs If-Match with the version it was made upon, from the ETag of an answer")
		answer.Problems = c.problems
		writeJSON(w, http.StatusPreconditionRequired, answer)
		return true
	}
	if len(c.problems) > 0 {
		writeProblems(w, c.problems)
		return true
	}
	return false
}

func writeProblems(w http.ResponseWriter, problems []targets.Problem) {
	answer := newError(codeInvalid, "the request is invalid, nothing was changed")
	answer.Problems = problems
	writeJSON(w, http.StatusBadRequest, answer)
}

// resource adds the state of the class or customer that a request is about to
// an answer.
type resource func(set *targets.Set, class **classView, customer **customerView)

// apply makes the change and answers. The answer says accepted only after the
// store has confirmed the change.
func (a *API) apply(w http.ResponseWriter, r *http.Request, c *change, edit func(*targets.Set) error, state resource, apiKey string) {
	if c.refused(w) {
		return
	}
	set, err := a.store.Change(r.Context(), c.base, edit)
	if err != nil {
		a.writeChangeError(w, err, state)
		return
	}
	a.holder.Offer(set)
	if a.spread != nil {
		a.spread(r.Context(), set.Version)
	}
	a.log.Info(logging.EventTargetsChanged, zap.Uint64("version", set.Version), zap.String("resource", r.URL.Path), zap.String("method", r.Method))
	answer := changeAnswer{Accepted: true, Version: set.Version, APIKey: apiKey}
	state(set, &answer.Class, &answer.Customer)
	if c.wait > 0 {
		answer.Spread = a.await(r.Context(), set.Version, c.wait)
	}
	setVersion(w, set.Version)
	writeJSON(w, http.StatusOK, answer)
}

func (a *API) writeChangeError(w http.ResponseWriter, err error, state resource) {
	if conflict, ok := errors.Into[*store.ConflictError](err); ok {
		answer := newError(codeConflict, err.Error()+"; nothing was changed")
		answer.Version = conflict.Newer.Version
		state(conflict.Newer, &answer.Class, &answer.Customer)
		setVersion(w, conflict.Newer.Version)
		writeJSON(w, http.StatusConflict, answer)
		return
	}
	if invalid, ok := errors.Into[*targets.ValidationError](err); ok {
		writeProblems(w, invalid.Problems)
		return
	}
	if unsettled, ok := errors.Into[*store.UnsettledError](err); ok {
		answer := newError(codeOutcomeUnknown, "the change may or may not have taken effect, or may yet; read the targets again once the table service answers")
		answer.Version = unsettled.Version
		writeJSON(w, http.StatusGatewayTimeout, answer)
		return
	}
	switch {
	case errors.Is(err, errNoResource):
		writeNotFound(w, err.Error())
	case errors.Is(err, store.ErrUnavailable):
		w.Header().Set("Retry-After", retryAfter)
		writeJSON(w, http.StatusServiceUnavailable, newError(codeUnavailable, "the table service is down, nothing was changed"))
	default:
		a.log.Error(logging.EventAdminChangeFailed, zap.Error(err))
		writeJSON(w, http.StatusInternalServerError, newError(codeInternal, "the change failed, nothing was changed"))
	}
}
