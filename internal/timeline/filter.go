package timeline

import (
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// Names of the query parameters.
const (
	paramSince   = "since"
	paramRequest = "request"
	paramLimit   = "limit"
)

// Defaults and limits of a query.
const (
	// DefaultSince is the default of Filter.Since.
	DefaultSince = 5 * time.Minute
	// DefaultLimit is the default of Filter.Limit.
	DefaultLimit = 1000
	// MaxLimit is the maximum of Filter.Limit.
	MaxLimit = 4000
)

// ErrInvalidFilter is returned for an invalid query parameter.
var ErrInvalidFilter = errors.New("wrong parameter")

// Filter selects events.
type Filter struct {
	// Since is the maximum age of the events, by each process's own clock; 0
	// means no limit.
	Since time.Duration
	// Request is the ID of the request whose events are selected; empty selects
	// all events.
	Request string
	// Limit is the maximum number of events per process, of which the newest are
	// kept; 0 means no limit.
	Limit int
}

// ParseFilter parses a Filter from a URL query, with defaults for absent
// parameters. The error wraps ErrInvalidFilter.
func ParseFilter(query url.Values) (Filter, error) {
	filter := Filter{Since: DefaultSince, Request: query.Get(paramRequest), Limit: DefaultLimit}
	if since := query.Get(paramSince); since != "" {
		age, err := time.ParseDuration(since)
		if err != nil || age <= 0 {
			return Filter{}, errors.Wrapf(ErrInvalidFilter, "%s must be a duration such as 5m, not %q", paramSince, since)
		}
		filter.Since = age
	}
	if limit := query.Get(paramLimit); limit != "" {
		n, err := strconv.Atoi(limit)
		if err != nil || n < 1 || n > MaxLimit {
			return Filter{}, errors.Wrapf(ErrInvalidFilter, "%s must be 1 to %d, not %q", paramLimit, MaxLimit, limit)
		}
		filter.Limit = n
	}
	return filter, nil
}

// Query encodes the Filter as a URL query for ParseFilter. It omits fields that are
// zero, for which ParseFilter takes the defaults.
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

// matches reports whether an event matches the filter. If Since is set, events
// before oldest don't match.
func (f Filter) matches(event Event, oldest Timestamp) bool {
	if f.Since > 0 && event.Timestamp.Before(oldest) {
		return false
	}
	return f.Request == "" || event.Request == f.Request
}

// newest returns the last limit events, or all if limit is zero.
func newest(events []Event, limit int) []Event {
	if limit > 0 && len(events) > limit {
		return events[len(events)-limit:]
	}
	return events
}
