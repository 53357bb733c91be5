package timeline

import (
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// Names of the query's parameters.
const (
	paramSince   = "since"
	paramRequest = "request"
	paramLimit   = "limit"
)

// Bounds of a question.
const (
	// DefaultSince is how far back a question goes that doesn't say.
	DefaultSince = 5 * time.Minute
	// DefaultLimit is how many events a process gives when not told; MaxLimit
	// is the most.
	DefaultLimit = 1000
	MaxLimit     = 4000
)

// ErrFilter: a parameter of a question is wrong.
var ErrFilter = errors.New("wrong parameter")

// Filter says which events are wanted.
type Filter struct {
	// Since is how far back to go, by each process's own clock.
	Since time.Duration
	// Request, unless empty, asks for one request's events only.
	Request string
	// Limit is how many events a process gives; the newest are kept.
	Limit int
}

// ParseFilter reads a Filter from a query, with defaults for what is absent.
func ParseFilter(query url.Values) (Filter, error) {
	filter := Filter{Since: DefaultSince, Request: query.Get(paramRequest), Limit: DefaultLimit}
	if since := query.Get(paramSince); since != "" {
		span, err := time.ParseDuration(since)
		if err != nil || span <= 0 {
			return Filter{}, errors.Wrapf(ErrFilter, "%s must be a duration such as 5m, not %q", paramSince, since)
		}
		filter.Since = span
	}
	if limit := query.Get(paramLimit); limit != "" {
		number, err := strconv.Atoi(limit)
		if err != nil || number < 1 || number > MaxLimit {
			return Filter{}, errors.Wrapf(ErrFilter, "%s must be 1 to %d, not %q", paramLimit, MaxLimit, limit)
		}
		filter.Limit = number
	}
	return filter, nil
}

// Query writes a Filter as ParseFilter reads it.
func (f Filter) Query() url.Values {
	query := make(url.Values)
	if f.Since > 0 {
		query.Set(paramSince, f.Since.String())
	}
	if f.Request != "" {
		query.Set(paramRequest, f.Request)
	}
	if f.Limit > 0 {
		query.Set(paramLimit, strconv.Itoa(f.Limit))
	}
	return query
}

// wants reports whether an event matches; none before oldest does.
func (f Filter) wants(event Event, oldest Stamp) bool {
	if f.Since > 0 && event.Stamp.Before(oldest) {
		return false
	}
	return f.Request == "" || event.Request == f.Request
}

// newest keeps the last limit events; all when limit is zero.
func newest(events []Event, limit int) []Event {
	if limit > 0 && len(events) > limit {
		return events[len(events)-limit:]
	}
	return events
}
