package admin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/applepier/applepier/internal/targets"
)

// code is a stable name of an error, for programs.
type code string

// Codes of errors.
const (
	codeInvalid        code = "invalid_request"
	codeTooLarge       code = "body_too_large"
	codeNotFound       code = "not_found"
	codeNoVersion      code = "version_required"
	codeConflict       code = "version_conflict"
	codeUnavailable    code = "table_unavailable"
	codeOutcomeUnknown code = "outcome_unknown"
	codeInternal       code = "internal"
)

// errorAnswer is the body of every error.
type errorAnswer struct {
	Error errorInfo `json:"error"`
	// Problems are all that is wrong with the request.
	Problems []targets.Problem `json:"problems,omitempty"`
	// Version and the resource are the newer state, with a conflict.
	Version  uint64        `json:"version,omitempty"`
	Class    *classView    `json:"class,omitempty"`
	Customer *customerView `json:"customer,omitempty"`
}

type errorInfo struct {
	Code    code   `json:"code"`
	Message string `json:"message"`
}

func newError(c code, message string) errorAnswer {
	return errorAnswer{Error: errorInfo{Code: c, Message: message}}
}

// writeJSON writes an answer. A client that has gone away needs none, so the
// error of writing is of no use.
func writeJSON[T any](w http.ResponseWriter, status int, answer T) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(answer)
}

// setVersion puts the version into the answer's ETag.
func setVersion(w http.ResponseWriter, version uint64) {
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(version, 10)))
}

func writeNotFound(w http.ResponseWriter, message string) {
	writeJSON(w, http.StatusNotFound, newError(codeNotFound, message))
}
