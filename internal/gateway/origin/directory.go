package origin

import (
	"context"
	"sync"
	"time"

	"github.com/applepier/applepier/internal/gateway/backend"
	"github.com/applepier/applepier/internal/pause"
	"github.com/applepier/applepier/policy"
)

const (
	// lookupTimeout bounds the wait for the responses to a query. A small VM that has used up its
	// share of the processor responds up to a tenth of a second late.
	lookupTimeout = 250 * time.Millisecond
	// queryInterval is the time after which a query without a response is sent again.
	queryInterval = 50 * time.Millisecond
	// maxTTL bounds for how long another gateway can make this one keep a record.
	maxTTL = time.Hour
)

// Peers sends datagrams to the other gateways that keep origins.
type Peers interface {
	// Holders returns the addresses of the gateways to which the record of a stream is sent.
	Holders(stream uint64) []string
	// Candidates returns the addresses of those that may hold it if the set of gateways has changed
	// since, in addition to Holders.
	Candidates(stream uint64) []string
	// Alone reports whether no other gateway is listed, running or not.
	Alone() bool
	// Send sends a datagram. It may get lost.
	Send(addr string, datagram []byte)
}

// Config holds the dependencies of a Directory.
type Config struct {
	Peers Peers
	// Versions returns the versions that a service has had within a window, as far as this gateway
	// knows.
	Versions func(service policy.Key, window time.Duration) backend.Versions
	// Current waits until this gateway knows of all versions that there were at the given time, and reports
	// whether it does. It gives up once that can't be expected any more, or when ctx ends.
	Current func(ctx context.Context, at time.Time) bool
	// Lifetime returns how long a stream lasts at most, with all resumptions, as far as this gateway
	// knows.
	Lifetime func() time.Duration
	// TTL returns for how long the origin of a stream is recorded.
	TTL func() time.Duration
}

// Directory knows the origins of the streams that began at this gateway, and of those whose records it
// holds for others. Its methods are safe for concurrent use.
type Directory struct {
	Config
	// mu guards the fields below. Only a lookup's lock is acquired while it is held.
	mu      sync.Mutex
	records *records
	// lookups holds the lookups in progress by stream.
	lookups map[Stream][]*lookup
}

// New returns an empty Directory.
func New(c Config) *Directory {
	return &Directory{Config: c, records: newRecords(), lookups: map[Stream][]*lookup{}}
}

// Begin records the origin of a stream whose first events this gateway is about to forward, and sends
// it to the holders. It doesn't wait for them: a lost record only keeps the stream from being resumed
// at another gateway.
func (d *Directory) Begin(stream Stream, origin Origin) {
	ttl := d.TTL()
	d.mu.Lock()
	d.records.put(time.Now(), stream, origin, true, ttl)
	d.mu.Unlock()
	record := message{Kind: kindRecord, Stream: uint64(stream), Service: uint32(origin.Service), Version: uint32(origin.Version), Seconds: wholeSeconds(ttl)}
	datagram := record.encode()
	for _, addr := range d.Peers.Holders(uint64(stream)) {
		d.Peers.Send(addr, datagram)
	}
}

// Find returns the origin of a stream that its caller resumes, and how it is known. service is the
// only one that may have begun it; 0 if there are several. With SourceUnknown the stream must not be
// continued, since its version can't be known. Find asks other gateways if needed, twice for
// lookupTimeout at most, or until ctx ends.
func (d *Directory) Find(ctx context.Context, stream Stream, service policy.Key) (Origin, Source) {
	askedAt := time.Now()
	if origin, source, ok := d.known(stream); ok {
		return origin, source
	}
	l := d.lookUp(ctx, stream, service)
	if stream != Unnamed && l.allLackRecord() && pause.Sleep(ctx, queryInterval) {
		// The record may still be on its way to its holders, or to this gateway.
		if origin, source, ok := d.known(stream); ok {
			return origin, source
		}
		l = d.lookUp(ctx, stream, service)
	}
	found, versions, responses := l.result()
	switch {
	case found != nil:
		return *found, SourceRecord
	case responses == 0 && !d.Peers.Alone():
		// This gateway may be cut off from the others, and they may know of versions that it has not
		// seen.
		return Origin{}, SourceUnknown
	case versions.Only != 0 && !versions.Several && d.remainsOnly(ctx, askedAt, service, versions.Only):
		return Origin{Service: service, Version: versions.Only}, SourceOnlyVersion
	default:
		return Origin{}, SourceUnknown
	}
}

// remainsOnly reports whether a version is still the only one of a service, once this gateway knows of all
// versions that there were at the given time. The stream may have begun a moment before it was resumed, at a
// version that had just joined, and the gateways that responded may be as far behind as this one.
func (d *Directory) remainsOnly(ctx context.Context, at time.Time, service, version policy.Key) bool {
	if !d.Current(ctx, at) {
		return false
	}
	versions := d.Versions(service, d.Lifetime())
	return !versions.Several && (versions.Only == 0 || versions.Only == version)
}

// lookUp asks the other gateways once and returns the ended lookup.
func (d *Directory) lookUp(ctx context.Context, stream Stream, service policy.Key) *lookup {
	lifetime := d.Lifetime()
	l := d.startLookup(stream, d.Versions(service, lifetime))
	defer d.endLookup(stream, l)
	query := message{Kind: kindQuery, Stream: uint64(stream), Service: uint32(service), Seconds: wholeSeconds(lifetime)}
	d.ask(ctx, query.encode(), l)
	return l
}

// known returns the origin of a stream if it is recorded here.
func (d *Directory) known(stream Stream) (Origin, Source, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.records.get(time.Now(), stream)
	switch {
	case r == nil:
		return Origin{}, SourceUnknown, false
	case r.own:
		return r.Origin, SourceOwn, true
	default:
		return r.Origin, SourceRecord, true
	}
}

// startLookup registers a lookup, given the versions that this gateway knows.
func (d *Directory) startLookup(stream Stream, versions backend.Versions) *lookup {
	addrs := append(d.Peers.Holders(uint64(stream)), d.Peers.Candidates(uint64(stream))...)
	l := newLookup(addrs, versions)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lookups[stream] = append(d.lookups[stream], l)
	return l
}

// endLookup removes a lookup.
func (d *Directory) endLookup(stream Stream, l *lookup) {
	d.mu.Lock()
	defer d.mu.Unlock()
	remaining := d.lookups[stream][:0]
	for _, other := range d.lookups[stream] {
		if other != l {
			remaining = append(remaining, other)
		}
	}
	if len(remaining) == 0 {
		delete(d.lookups, stream)
		return
	}
	d.lookups[stream] = remaining
}

// ask sends the query until a gateway has the record, all have responded, or the time is over.
func (d *Directory) ask(ctx context.Context, query []byte, l *lookup) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	ticker := time.NewTicker(queryInterval)
	defer ticker.Stop()
	for {
		for _, addr := range l.unanswered() {
			d.Peers.Send(addr, query)
		}
		select {
		case <-l.done:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Handle processes a datagram from the gateway at addr. It returns ErrMalformed if the datagram can't
// be decoded.
func (d *Directory) Handle(addr string, datagram []byte) error {
	m, err := decodeMessage(datagram)
	if err != nil {
		return err
	}
	switch m.Kind {
	case kindRecord:
		d.hold(&m)
	case kindQuery:
		d.Peers.Send(addr, d.respond(&m))
	case kindFound:
		d.hold(&m)
		d.recordResponse(addr, &m)
	case kindNotFound, kindSeveralVersions:
		d.recordResponse(addr, &m)
	}
	return nil
}

// hold keeps the record that another gateway sent.
func (d *Directory) hold(m *message) {
	if m.Version == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records.put(time.Now(), Stream(m.Stream), m.origin(), false, min(m.ttl(), maxTTL))
}

// respond returns the response to a query.
func (d *Directory) respond(query *message) []byte {
	d.mu.Lock()
	now := time.Now()
	r := d.records.get(now, Stream(query.Stream))
	response := message{Kind: kindNotFound, Stream: query.Stream, Service: query.Service}
	if r != nil {
		response.Kind, response.Service, response.Version = kindFound, uint32(r.Service), uint32(r.Version)
		response.Seconds = uint32(r.expiresAt.Sub(now)/time.Second) + 1
	}
	d.mu.Unlock()
	if r == nil {
		// The stream may last longer than this gateway knows, if it has had no such request yet.
		versions := d.Versions(policy.Key(query.Service), max(d.Lifetime(), min(query.ttl(), maxTTL)))
		response.Version = uint32(versions.Only)
		if versions.Several {
			response.Kind = kindSeveralVersions
		}
	}
	return response.encode()
}

// recordResponse passes a response on to the lookups of its stream.
func (d *Directory) recordResponse(addr string, m *message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.lookups[Stream(m.Stream)] {
		l.recordResponse(addr, m)
	}
}
