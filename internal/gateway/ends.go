package gateway

import (
	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/gateway/router"
	"github.com/applepier/applepier/internal/logging"
)

// ends logs how requests ended; those that were served have no line.
type ends struct{ log *zap.Logger }

// Ended implements router.Observer.
func (e ends) Ended(end router.End) {
	if end.Reason == router.ReasonServed {
		return
	}
	e.log.Info(logging.EventRequestFinished, logging.Request(end.ID), logging.Class(end.Route),
		zap.String("service", end.Service), zap.Int("status", end.Status), logging.Reason(string(end.Reason)),
		zap.String("customer", end.Customer), zap.Int("urgency", end.Urgency), zap.Int("sends", end.Sends), zap.Duration("took", end.Took))
}
