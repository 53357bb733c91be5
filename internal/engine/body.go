package engine

import (
	"encoding/json"
	"net/http"
)

// streamOptions asks for the usage chunk at the end of a stream.
var streamOptions = json.RawMessage(`{"include_usage":true}`)

// streamingBody returns the request with streaming and the usage chunk turned
// on, whatever its caller asked for. A body that is not a JSON object is
// rejected as the engine would reject it.
func streamingBody(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return nil, malformedBody()
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = streamOptions
	encoded, err := json.Marshal(fields)
	if err != nil {
		return nil, malformedBody()
	}
	return encoded, nil
}

func malformedBody() *RejectedError {
	const body = `{"error":{"message":"request body is not a JSON object","type":"invalid_request_error"}}`
	return &RejectedError{Status: http.StatusBadRequest, Body: []byte(body)}
}
