package logging

import "go.uber.org/zap"

// Keys of the pairs.
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

// Request is the id of the request that a line concerns.
func Request(id string) zap.Field { return zap.String(keyRequest, id) }

// Class is the class of the request that a line concerns.
func Class(name string) zap.Field { return zap.String(keyClass, name) }

// Peer is the other process that a line concerns.
func Peer(process string) zap.Field { return zap.String(keyPeer, process) }

// Reason says in few words why it happened.
func Reason(text string) zap.Field { return zap.String(keyReason, text) }
