package follow

import (
	"context"
	"time"

	"github.com/applepier/applepier/internal/boottime"
)

// longestReading is for how long the pages of a table that have been read are kept
// while the next one can't be had: stores keep their history for longer, so that
// what has changed since the first page can still be followed.
const maxPagedReadAge = 10 * time.Second

// pagedRead is a table that is being read page by page. A page that is refused is asked
// for again, and not those before it: when hundreds of gateways start at once before
// a store that answers so many calls a second, each that began anew would take the
// calls that the others need.
type pagedRead[T any] struct {
	// batch holds the pages that were read; it has no More before the first.
	batch Batch[T]
	// moment is when the first page was asked for, by the call that got it.
	startedAt time.Duration
}

// read reads the rest of the table; what has been read is kept for the next try.
func (r *pagedRead[T]) read(ctx context.Context, source Source[T]) error {
	if now := boottime.Now(); r.batch.More == "" || now-r.startedAt > maxPagedReadAge {
		*r = pagedRead[T]{startedAt: now}
	}
	for {
		page, err := source.Read(ctx, r.batch.More)
		if err != nil {
			return err
		}
		if r.batch.More != "" && page.At.Era() != r.batch.At.Era() {
			// The pages before are of a history that is gone.
			*r = pagedRead[T]{}
			return ErrHistoryGone
		}
		r.addPage(page)
		if r.batch.More == "" {
			return nil
		}
	}
}

// add takes a page. What changes between two pages is seen again by following from
// the first page's position.
func (r *pagedRead[T]) addPage(page Batch[T]) {
	b := &r.batch
	b.Items = append(b.Items, page.Items...)
	b.Unreadable = append(b.Unreadable, page.Unreadable...)
	if b.At == 0 || page.At < b.At {
		b.At = page.At
	}
	b.More = page.More
}
