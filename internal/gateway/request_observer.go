package gateway

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/gateway/protocol"
	"github.com/applepier/applepier/internal/gateway/router"
	"github.com/applepier/applepier/internal/gateway/usage"
	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/metrics"
	"github.com/applepier/applepier/policy"
)

// requestObserver counts request outcomes, and logs the requests that weren't served.
type requestObserver struct {
	metrics *metrics.Metrics
	log     *zap.Logger
	// storeQuarantined stores a newly quarantined request.
	storeQuarantined func(policy.Suspicion)
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
func (o requestObserver) RequestEnded(end router.RequestResult) {
	class := o.metrics.ForClass(end.Route)
	class.Received()
	class.ReceivedPromptTokens(end.PromptTokens)
	for range end.Sends - 1 {
		class.Retried()
	}
	if end.FirstByteLatency > 0 {
		class.ObserveFirstToken(end.FirstByteLatency)
	}
	if end.LongestPause > 0 {
		class.ObservePause(end.LongestPause)
	}
	o.count(class, end)
	if end.Reason != router.ReasonServed {
		o.log.Info(eventName(end), logging.Request(end.ID), logging.Class(end.Route), logging.Reason(string(end.Reason)),
			zap.Int("status", end.Status), zap.String("service", end.Service), zap.String("customer", end.Customer),
			zap.Int("urgency", end.Urgency), zap.Int("sends", end.Sends), zap.Int("unreached", end.FailedDials), zap.String("last_server", end.Server),
			zap.Bool("server_ended", end.ServerEnded), zap.Stringer("fingerprint", end.Fingerprint),
			zap.Uint64("version", end.StateVersion), zap.Duration("proof_age", end.StateAge),
			zap.Duration("expected", end.ExpectedTTFT), zap.Duration("took", end.Duration),
			zap.Int("prompt_tokens", end.PromptTokens), zap.Int("mean_tokens", end.MeanTokens), zap.Int("prefill_tokens", end.PrefillTokens), zap.Int("tokens_ahead", end.TokensAhead),
			zap.String("connection", string(end.Connection.CloseReason)), zap.Duration("rested", end.Connection.IdleTime), zap.Int("requests", end.Connection.Requests))
	}
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

// RequestQuarantined implements router.Observer.
func (o requestObserver) RequestQuarantined(suspicion policy.Suspicion) {
	o.log.Warn(logging.EventRequestQuarantined, zap.Stringer("fingerprint", suspicion.Fingerprint), zap.Int("servers_ended", len(suspicion.Crashes)))
	o.storeQuarantined(suspicion)
}

// count adds the end of a request to the counter of its outcome.
func (o requestObserver) count(class *metrics.Class, end router.RequestResult) {
	switch eventName(end) {
	case logging.EventRequestRefused:
		class.Refused(metrics.Reason(end.Reason))
		class.RefusedPromptTokens(metrics.Reason(end.Reason), end.PromptTokens)
	case logging.EventRequestUnknown:
		class.OutcomeUnknown()
	case logging.EventRequestCancelled:
		class.Cancelled()
	default:
		if end.Reason != router.ReasonServed {
			class.Failed()
			return
		}
		timing := metrics.OnTime
		if end.Late() {
			timing = metrics.Late
		}
		class.Finished(timing, 0)
	}
}

// eventName returns the log event for the end of a request, which depends on whether the request
// ran.
func eventName(end router.RequestResult) string {
	switch {
	case end.Reason == router.ReasonCallerLeft:
		return logging.EventRequestCancelled
	case end.Status == http.StatusServiceUnavailable, end.Reason == router.ReasonNoRoute, end.Reason == router.ReasonUnknownKey,
		end.Reason == router.ReasonNoRequestID, end.Reason == router.ReasonBodyTooLarge, end.Reason == router.ReasonHeaderTooLarge:
		return logging.EventRequestRefused
	case end.Reason == router.ReasonOutcomeUnknown, end.Reason == router.ReasonTimeout:
		return logging.EventRequestUnknown
	default:
		return logging.EventRequestFinished
	}
}
