package timeline

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/applepier/applepier/internal/dial"
)

// Limits of Gather.
const (
	// maxParallelFetches is the number of processes queried at once. If 120 of
	// 1,610 processes are unreachable, their timeouts delay Gather by eight seconds;
	// a higher number would need more memory, since each response is decoded as a
	// whole.
	maxParallelFetches = 32
	// peerTimeout is the timeout of the request to one process.
	peerTimeout = 2 * time.Second
	// maxPageBytes is the maximum number of bytes read from one process's response.
	maxPageBytes = 8 << 20
	// MaxGathered is the maximum number of events that Gather returns; the newest are
	// kept.
	MaxGathered = 20000
)

// httpClient opens a new connection for each request, since the peer of an idle
// connection may have become unreachable without the connection being closed.
var httpClient = &http.Client{
	Timeout:   peerTimeout,
	Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: dial.MaxHeadBytes},
}

// Gather fetches the events of all peers, authenticated with the system key, and
// merges them. Peers whose events couldn't be fetched are listed in the View;
// there is no other error.
func Gather(ctx context.Context, peers []Peer, key string, filter Filter) View {
	var results collector
	workers := pool.New().WithMaxGoroutines(maxParallelFetches)
	for _, peer := range peers {
		workers.Go(func() {
			page, err := fetchPage(ctx, peer, key, filter)
			if err != nil {
				results.addMissing(peer, err)
				return
			}
			results.add(page)
		})
	}
	workers.Wait()
	return results.view()
}

// fetchPage fetches the events of one peer.
func fetchPage(ctx context.Context, peer Peer, key string, filter Filter) (Page, error) {
	address := url.URL{Scheme: "http", Host: peer.Addr, Path: PathEvents, RawQuery: filter.Query().Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return Page{}, errors.Wrap(err, "address")
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := httpClient.Do(request)
	if err != nil {
		return Page{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Page{}, errors.Errorf("answered %d", response.StatusCode)
	}
	var page Page
	if err := json.NewDecoder(io.LimitReader(response.Body, maxPageBytes)).Decode(&page); err != nil {
		return Page{}, errors.Wrap(err, "answer")
	}
	return page, nil
}

// collector accumulates the results of the concurrent fetches; mu guards all
// fields.
type collector struct {
	mu        sync.Mutex
	events    []Event
	responded int
	missing   []MissingPeer
	truncated bool
}

func (c *collector) add(page Page) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responded++
	c.truncated = c.truncated || page.Truncated
	c.events = append(c.events, page.Events...)
	if len(c.events) > 2*MaxGathered {
		c.trim()
	}
}

func (c *collector) addMissing(peer Peer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.missing = append(c.missing, MissingPeer{Peer: peer, Reason: describeError(err)})
}

// trim sorts the events and drops the oldest beyond MaxGathered.
func (c *collector) trim() {
	c.events = Merge(c.events)
	if len(c.events) > MaxGathered {
		c.truncated = true
		c.events = newest(c.events, MaxGathered)
	}
}

// view returns the events added so far, at most the newest MaxGathered, and the peers
// that are missing, sorted by name.
func (c *collector) view() View {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trim()
	slices.SortFunc(c.missing, func(a, b MissingPeer) int { return cmp.Compare(a.Process, b.Process) })
	return View{
		Events:    append([]Event{}, c.events...),
		Responded: c.responded,
		Missing:   append([]MissingPeer{}, c.missing...),
		Truncated: c.truncated,
	}
}

// describeError returns the error's message without the URL that net/http adds,
// since MissingPeer already contains the address.
func describeError(err error) string {
	var urlErr *url.Error
	if !errors.As(err, &urlErr) {
		return err.Error()
	}
	if urlErr.Timeout() {
		return "no answer in time"
	}
	return rootCause(urlErr).Error()
}

// rootCause returns the innermost wrapped error.
func rootCause(err error) error {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err
		}
		err = inner
	}
}
