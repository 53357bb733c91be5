package admin

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/logging"
	"github.com/applepier/applepier/internal/targets"
)

// readLimit bounds the read of the newest targets; after it the ones in force
// here are told.
const readLimit = 2 * time.Second

// read returns the newest targets. They are read from the table service, so
// that an operator sees a change at once through every entry; while that is
// down, the ones in force in this process are returned.
func (a *API) read(ctx context.Context) (*targets.Set, source) {
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	set, err := a.store.Load(ctx)
	if err != nil {
		a.log.Warn(logging.EventAdminReadFailed, zap.Error(err))
		return a.holder.Current(), sourceMemory
	}
	a.holder.Offer(set)
	return set, sourceTable
}
