package gateway

import (
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/gateway/protocol"
	"github.com/applepier/applepier/internal/gateway/router"
	"github.com/applepier/applepier/internal/gateway/usage"
	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/metrics"
	"github.com/applepier/applepier/policy"
	"github.com/applepier/applepier/policy/isolation"
)

// requestObserver implements router.Observer. It counts request outcomes and usage, logs the requests
// that weren't served and the changes of backend servers that requests reveal, and has the
// quarantine stored.
type requestObserver struct {
	metrics *metrics.Metrics
	log     *zap.Logger
	// storeQuarantined stores what was quarantined, or deletes what was released.
	storeQuarantined func(quarantineChange)
	// usage counts requests per customer; nil if usage reporting is disabled.
	usage *usage.Counter
}

// ResponseStarted implements router.Observer.
func (o requestObserver) ResponseStarted(customer string) {
	if o.usage != nil && customer != "" {
		o.usage.Add(customer)
	}
}

// RequestEnded implements router.Observer.
func (o requestObserver) RequestEnded(result router.RequestResult) {
	class := o.metrics.ForClass(result.Route)
	class.Received()
	class.ReceivedPromptTokens(result.PromptTokens)
	for range result.Sends - 1 {
		class.Retried()
	}
	if result.RetryDenied {
		class.RetryDenied()
	}
	if result.FirstByteLatency > 0 {
		class.ObserveFirstToken(result.FirstByteLatency)
	}
	if result.LongestPause > 0 {
		class.ObserveLongestPause(result.LongestPause)
	}
	o.count(class, result)
	if result.Resumed() {
		o.logResumed(result)
	}
	if result.Reason != router.ReasonServed {
		o.log.Info(eventName(result), logging.Request(result.ID), logging.Class(result.Route), logging.Reason(string(result.Reason)),
			zap.Int("status", result.Status), zap.String("service", result.Service), zap.String("customer", result.Customer),
			zap.Int("urgency", result.Urgency), zap.Int("sends", result.Sends), zap.Int("unreached", result.FailedDials), zap.Bool("retry_denied", result.RetryDenied), zap.String("last_server", result.Server),
			zap.Bool("server_ended", result.ServerEnded), zap.Stringer("fingerprint", result.Fingerprint),
			zap.String("segments", formatSegments(result.Segments)), zap.Duration("answered", result.AnswerTime),
			zap.Uint64("version", result.StateVersion), zap.Duration("proof_age", result.StateAge),
			zap.Duration("expected", result.ExpectedTTFT), zap.Duration("took", result.Duration),
			zap.Int("prompt_tokens", result.PromptTokens), zap.Int("mean_tokens", result.MeanTokens), zap.Int("prefill_tokens", result.PrefillTokens), zap.Int("tokens_ahead", result.TokensAhead),
			zap.String("connection", string(result.Connection.CloseReason)), zap.Duration("rested", result.Connection.IdleTime), zap.Int("requests", result.Connection.Requests))
	}
}

// maxLoggedSegments bounds the prompt segments in a log line.
const maxLoggedSegments = 16

// formatSegments returns the IDs of prompt segments, separated by commas.
func formatSegments(ids []policy.SegmentID) string {
	var list []string
	for _, id := range ids[:min(len(ids), maxLoggedSegments)] {
		list = append(list, id.String())
	}
	return strings.Join(list, ",")
}

// logResumed logs and counts a stream that was resumed, in one response or by its caller.
func (o requestObserver) logResumed(result router.RequestResult) {
	o.metrics.StreamResumed(string(result.OriginSource), metrics.Reason(result.Reason))
	o.log.Info(logging.EventStreamResumed, logging.Request(result.ID), logging.Class(result.Route), logging.Reason(string(result.Reason)),
		zap.Int("status", result.Status), zap.String("service", result.Service), zap.String("resumes", result.ResumesID), zap.String("after", result.LastEventID),
		zap.String("origin", string(result.OriginSource)), zap.String("origin_version", result.OriginVersion), zap.Strings("versions", result.Versions), zap.Int("sends", result.Sends), zap.String("last_server", result.Server))
}

// ServerReplaced implements router.Observer.
func (o requestObserver) ServerReplaced(server string) {
	o.log.Info(logging.EventServerRemoved, logging.Peer(server), logging.Reason("replaced"))
}

// ServerEnded implements router.Observer.
func (o requestObserver) ServerEnded(server string) {
	o.metrics.ServerEnded()
	o.log.Warn(logging.EventServerEnded, logging.Peer(server))
}

// ServerLimitChanged implements router.Observer.
func (o requestObserver) ServerLimitChanged(server string, limit protocol.RateLimit) {
	switch {
	case limit.Invalid:
		o.log.Warn(logging.EventServerLimited, logging.Peer(server), logging.Reason("unreadable"))
	case limit.Present:
		o.log.Info(logging.EventServerLimited, logging.Peer(server), zap.Float64("limit", limit.Rate))
	default:
		o.log.Info(logging.EventServerUnlimited, logging.Peer(server))
	}
}

// ServerDraining implements router.Observer.
func (o requestObserver) ServerDraining(server string) {
	o.log.Info(logging.EventServerDraining, logging.Peer(server))
}

// ServersReserved implements router.Observer.
func (o requestObserver) ServersReserved(service string, plan isolation.Plan) {
	o.log.Info(logging.EventServersReserved, zap.String("service", service), zap.Int("servers", plan.Count), zap.Int("held", plan.Held),
		zap.Int("for_slots", plan.NeededForSlots), zap.Int("for_prefill", plan.NeededForPrefill),
		zap.Float64("streams", plan.RunningStreams), zap.Float64("tokens_per_second", plan.PrefillTokensPerSecond), zap.Float64("late", plan.LateShare))
}

// StreamPaused implements router.Observer.
func (o requestObserver) StreamPaused() { o.metrics.StreamPaused() }

// ResponseTooLarge implements router.Observer.
func (o requestObserver) ResponseTooLarge(server, reason string) {
	o.metrics.ResponseTooLarge()
	o.log.Warn(logging.EventResponseTooLarge, logging.Peer(server), logging.Reason(reason))
}

// EventsOutOfOrder implements router.Observer.
func (o requestObserver) EventsOutOfOrder(request, server string, reason error) {
	o.metrics.EventsOutOfOrder()
	o.log.Warn(logging.EventEventsOutOfOrder, logging.Request(request), logging.Peer(server), logging.Reason(reason.Error()))
}

// ResponseEndedEarly implements router.Observer.
func (o requestObserver) ResponseEndedEarly(end router.EarlyEnd) {
	o.log.Info(logging.EventResponseEndedEarly, logging.Request(end.RequestID), logging.Peer(end.Server), zap.Bool("complete", end.Err == nil), zap.Error(end.Err))
}

// RetryBudgetExhausted implements router.Observer.
func (o requestObserver) RetryBudgetExhausted(service string, usage policy.RetryUsage, gateways int) {
	o.log.Info(logging.EventRetryBudgetExhausted, zap.String("service", service), zap.Int("retries", usage.Retries), zap.Int("requests", usage.Requests),
		zap.Float64("allowed", usage.Allowed), zap.Int("gateways", gateways))
}

// ServerBackoff implements router.Observer.
func (o requestObserver) ServerBackoff(server string, backoff time.Duration) {
	o.metrics.ServerBackoff()
	o.log.Info(logging.EventServerBackoff, logging.Peer(server), zap.Duration("backoff", backoff))
}

// ZoneShareChanged implements router.Observer.
func (o requestObserver) ZoneShareChanged(change router.ZoneShareChange) {
	o.log.Info(logging.EventZoneShareChanged, zap.String("service", change.Service), zap.String("from", change.From.Name), zap.String("to", change.To.Name),
		zap.Float64("share", change.Share.Fraction), zap.Float64("before", change.Before), logging.Reason(string(change.Share.Reason)), zap.Duration("crossing_cost", change.CrossingCost),
		zap.Float64("from_capacity", change.From.Capacity), zap.Float64("from_waiting", change.From.Waiting), zap.Float64("from_demand", change.From.Demand),
		zap.Float64("to_capacity", change.To.Capacity), zap.Float64("to_waiting", change.To.Waiting), zap.Float64("to_demand", change.To.Demand), zap.Time("to_known_at", change.To.KnownAt))
}

// Quarantined implements router.Observer.
func (o requestObserver) Quarantined(evidence policy.Suspicion) {
	if evidence.ID.Segment {
		o.log.Warn(logging.EventSegmentQuarantined, zap.Stringer("segment", evidence.ID), zap.Int("servers_ended", len(evidence.Crashes)))
	} else {
		o.log.Warn(logging.EventRequestQuarantined, zap.Stringer("fingerprint", evidence.ID), zap.Int("servers_ended", len(evidence.Crashes)))
	}
	o.storeQuarantined(quarantineChange{suspicion: evidence})
}

// Released implements router.Observer.
func (o requestObserver) Released(id policy.SuspectID) {
	o.log.Info(logging.EventQuarantineEnded, zap.Stringer("fingerprint", id), zap.Bool("segment", id.Segment))
	o.storeQuarantined(quarantineChange{suspicion: policy.Suspicion{ID: id}, released: true})
}

// count adds the end of a request to the counter of its outcome.
func (o requestObserver) count(class *metrics.Class, result router.RequestResult) {
	switch eventName(result) {
	case logging.EventRequestRefused:
		class.Refused(metrics.Reason(result.Reason))
		class.RefusedPromptTokens(metrics.Reason(result.Reason), result.PromptTokens)
	case logging.EventRequestUnknown:
		class.OutcomeUnknown()
	case logging.EventRequestCancelled:
		class.Cancelled()
	default:
		if result.Reason != router.ReasonServed {
			class.Failed()
			return
		}
		timing := metrics.OnTime
		if result.Late() {
			timing = metrics.Late
		}
		class.Finished(timing, 0)
	}
}

// eventName returns the log event for the end of a request. It tells whether the request was
// cancelled by its caller, refused without being run, may have run with an unknown outcome, or
// finished.
func eventName(result router.RequestResult) string {
	switch {
	case result.Reason == router.ReasonCallerDisconnected:
		return logging.EventRequestCancelled
	case result.Status == http.StatusServiceUnavailable, result.Reason == router.ReasonNoRoute, result.Reason == router.ReasonUnknownKey,
		result.Reason == router.ReasonNoRequestID, result.Reason == router.ReasonBodyTooLarge, result.Reason == router.ReasonHeaderTooLarge:
		return logging.EventRequestRefused
	case result.Reason == router.ReasonOutcomeUnknown, result.Reason == router.ReasonTimeout:
		return logging.EventRequestUnknown
	default:
		return logging.EventRequestFinished
	}
}
