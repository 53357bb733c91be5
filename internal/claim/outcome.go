package claim

// Outcome describes how claimed work ended.
type Outcome struct {
	// Complete reports that the response was delivered completely. Otherwise the
	// work ran and failed or was interrupted.
	Complete bool `json:"whole"`
	// Status is the HTTP status sent to the caller.
	Status int `json:"status"`
	// ContentType is the media type of Response.
	ContentType string `json:"content_type,omitempty"`
	// ResponseStored reports that Claimer.Response can read the response. Finish
	// sets it.
	ResponseStored bool `json:"kept,omitempty"`
	// Response is the body sent to the caller. It is an input of Finish only and
	// is nil in claims that are returned.
	Response []byte `json:"-"`
}
