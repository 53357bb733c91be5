package engine

import (
	"encoding/json"
	"net/http"
)

// streamOptions requests the usage chunk at the end of a stream.
var streamOptions = json.RawMessage(`{"include_usage":true}`)

// streamingBody returns the request body with streaming and the usage chunk
// enabled, whatever the caller set. For a body that is not a JSON object it
// returns a RejectedError with status 400, as an engine would.
func streamingBody(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return nil, malformedBodyError()
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = streamOptions
	streamBody, err := json.Marshal(fields)
	if err != nil {
		return nil, malformedBodyError()
	}
	return streamBody, nil
}

func malformedBodyError() *RejectedError {
	const body = `{"error":{"message":"request body is not a JSON object","type":"invalid_request_error"}}`
	return &RejectedError{Status: http.StatusBadRequest, Body: []byte(body)}
}
