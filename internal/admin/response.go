package admin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/applepier/applepier/internal/targets"
)

// errorCode is a stable, machine-readable identifier of an error.
type errorCode string

// Error codes of the administration API.
const (
	codeInvalidRequest   errorCode = "invalid_request"
	codeBodyTooLarge     errorCode = "body_too_large"
	codeNotFound         errorCode = "not_found"
	codeVersionRequired  errorCode = "version_required"
	codeVersionConflict  errorCode = "version_conflict"
	codeTableUnavailable errorCode = "table_unavailable"
	codeOutcomeUnknown   errorCode = "outcome_unknown"
	codeInternal         errorCode = "internal"
)

// errorResponse is the body of every error response of this package.
type errorResponse struct {
	Error errorInfo `json:"error"`
	// Problems lists all validation errors of the request.
	Problems []targets.Problem `json:"problems,omitempty"`
	// Version, Class and Customer are the current state after a version
	// conflict. After an unknown outcome, Version is the version that the
	// change would have.
	Version  uint64        `json:"version,omitempty"`
	Class    *classView    `json:"class,omitempty"`
	Customer *customerView `json:"customer,omitempty"`
}

type errorInfo struct {
	Code    errorCode `json:"code"`
	Message string    `json:"message"`
}

func newErrorResponse(code errorCode, message string) errorResponse {
	return errorResponse{Error: errorInfo{Code: code, Message: message}}
}

// writeJSON writes a response with a JSON body. Write errors are ignored: they
// mean that the caller has disconnected.
func writeJSON[T any](w http.ResponseWriter, status int, body T) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(body)
}

// setETag sets the response's ETag to the targets version.
func setETag(w http.ResponseWriter, version uint64) {
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(version, 10)))
}

func writeNotFound(w http.ResponseWriter, message string) {
	writeJSON(w, http.StatusNotFound, newErrorResponse(codeNotFound, message))
}
