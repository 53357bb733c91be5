package claim

// Outcome is how claimed work ended.
type Outcome struct {
	// Whole says that the whole answer was given; otherwise the work ran and
	// failed, or was cut off.
	Whole bool `json:"whole"`
	// Status is the HTTP status that the caller got.
	Status int `json:"status"`
	// ContentType is the media type of Answer.
	ContentType string `json:"content_type,omitempty"`
	// Kept says that the answer can be read by Claimer.Answer. Finish sets it.
	Kept bool `json:"kept,omitempty"`
	// Answer is the body that the caller got. Finish takes it; claims that
	// are read don't carry it.
	Answer []byte `json:"-"`
}
