package follow

import (
	"context"
	"time"

	"github.com/applepier/applepier/internal/boottime"
)

// maxPagedReadAge is how long the pages that were read are kept while the next page can't be read.
// Stores keep their history for longer, so the changes since the first page can still be followed.
const maxPagedReadAge = 10 * time.Second

// pagedRead is a read of the complete table in pages. A page that fails is requested again without
// the pages before it. If hundreds of gateways start at once and the store limits the rate of
// calls, gateways that restarted from the first page would use up the calls that the others need.
type pagedRead[T any] struct {
	// batch holds the pages that were read. Its NextPage is empty before the first page.
	batch Batch[T]
	// startedAt is when the call that returned the first page was made, on the boottime clock.
	startedAt time.Duration
}

// read reads the remaining pages. After an error it keeps the pages that were read for the next
// attempt. It returns ErrHistoryGone if the store was restored from an older copy between two
// pages.
func (r *pagedRead[T]) read(ctx context.Context, source Source[T]) error {
	if now := boottime.Now(); r.batch.NextPage == "" || now-r.startedAt > maxPagedReadAge {
		*r = pagedRead[T]{startedAt: now}
	}
	for {
		page, err := source.Read(ctx, r.batch.NextPage)
		if err != nil {
			return err
		}
		if r.batch.NextPage != "" && page.Position.Era() != r.batch.Position.Era() {
			// The previous pages belong to a history that no longer exists.
			*r = pagedRead[T]{}
			return ErrHistoryGone
		}
		r.addPage(page)
		if r.batch.NextPage == "" {
			return nil
		}
	}
}

// addPage appends a page. It keeps the lowest position, so changes that happened between two pages
// are returned again when following from there.
func (r *pagedRead[T]) addPage(page Batch[T]) {
	batch := &r.batch
	batch.Items = append(batch.Items, page.Items...)
	batch.Unreadable = append(batch.Unreadable, page.Unreadable...)
	if batch.Position == 0 || page.Position < batch.Position {
		batch.Position = page.Position
	}
	batch.NextPage = page.NextPage
}
