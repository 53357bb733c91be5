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
)

// Bounds of a gathering.
const (
	// gatherParallel is how many processes are asked at once. At 1,610
	// processes of which 120 are gone, their timeouts add up to eight seconds;
	// more at once would cost memory, since each answer is decoded whole.
	gatherParallel = 32
	// peerTimeout is how long one process may take to answer.
	peerTimeout = 2 * time.Second
	// maxPageBytes is how much of one process's answer is read.
	maxPageBytes = 8 << 20
	// MaxGathered is how many events a View holds; the newest are kept.
	MaxGathered = 20000
)

// gatherClient opens a connection for each call, since an idle one may have
// gone silent unnoticed.
var gatherClient = &http.Client{
	Timeout:   peerTimeout,
	Transport: &http.Transport{DisableKeepAlives: true},
}

// Gather asks all peers for their events, with the system's key, and puts the
// answers into one order. It never fails as a whole: peers that don't answer
// are named in the View.
func Gather(ctx context.Context, peers []Peer, key string, filter Filter) View {
	var gathered collection
	workers := pool.New().WithMaxGoroutines(gatherParallel)
	for _, peer := range peers {
		workers.Go(func() {
			page, err := ask(ctx, peer, key, filter)
			if err != nil {
				gathered.miss(peer, err)
				return
			}
			gathered.add(page)
		})
	}
	workers.Wait()
	return gathered.view()
}

func ask(ctx context.Context, peer Peer, key string, filter Filter) (Page, error) {
	address := url.URL{Scheme: "http", Host: peer.Addr, Path: PathEvents, RawQuery: filter.Query().Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return Page{}, errors.Wrap(err, "address")
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := gatherClient.Do(request)
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

// collection keeps what the workers bring; mu guards all of it.
type collection struct {
	mu        sync.Mutex
	events    []Event
	answered  int
	missing   []Missing
	truncated bool
}

func (c *collection) add(page Page) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered++
	c.truncated = c.truncated || page.Truncated
	c.events = append(c.events, page.Events...)
	if len(c.events) > 2*MaxGathered {
		c.trim()
	}
}

func (c *collection) miss(peer Peer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.missing = append(c.missing, Missing{Peer: peer, Reason: reasonOf(err)})
}

// trim orders the events and leaves the oldest out.
func (c *collection) trim() {
	c.events = Merge(c.events)
	if len(c.events) > MaxGathered {
		c.truncated = true
		c.events = newest(c.events, MaxGathered)
	}
}

func (c *collection) view() View {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trim()
	slices.SortFunc(c.missing, func(a, b Missing) int { return cmp.Compare(a.Process, b.Process) })
	return View{
		Events:      append([]Event{}, c.events...),
		Answered:    c.answered,
		NotAnswered: append([]Missing{}, c.missing...),
		Truncated:   c.truncated,
	}
}

// reasonOf drops the address from an error, which the peer already names.
func reasonOf(err error) string {
	var call *url.Error
	if !errors.As(err, &call) {
		return err.Error()
	}
	if call.Timeout() {
		return "no answer in time"
	}
	return innermost(call).Error()
}

func innermost(err error) error {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err
		}
		err = inner
	}
}
