package logging

import "go.uber.org/zap"

// Keys of the logfmt pairs.
const (
	keyTime    = "ts"
	keyLevel   = "level"
	keyEvent   = "event"
	keyProcess = "process"
	keyRequest = "request"
	keyClass   = "class"
	keyPeer    = "peer"
	keyReason  = "reason"
)

// Request returns the field for the ID of the request that a line concerns.
func Request(id string) zap.Field { return zap.String(keyRequest, id) }

// Class returns the field for the class of the request that a line concerns.
func Class(name string) zap.Field { return zap.String(keyClass, name) }

// Peer returns the field for the other process that a line concerns.
func Peer(process string) zap.Field { return zap.String(keyPeer, process) }

// Reason returns the field for the cause of the event, a few words long. Lines are
// sampled by event and reason.
func Reason(text string) zap.Field { return zap.String(keyReason, text) }
