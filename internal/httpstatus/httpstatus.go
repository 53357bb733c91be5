// Package httpstatus tells which status codes of HTTP responses are valid (RFC 9110, section 15). net/http
// accepts any three characters that parse as a number, such as 000, +20 and 999.
package httpstatus

import "net/http"

// end is the first number after the valid status codes.
const end = 600

// IsFinal reports whether a status code is that of a final response.
func IsFinal(status int) bool { return status >= http.StatusOK && status < end }

// IsSuccess reports whether a status code is that of a successful response.
func IsSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// IsInformational reports whether a status code is that of a response before the final one, to a client that
// didn't ask to switch protocols.
func IsInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}
