package usage

import (
	"context"
	"maps"
	"sync"
	"testing"
	"time"
)

// checkingPlatform is a Platform that accepts reports and fails the test if two reports of one
// window differ or two holders use the same generation.
type checkingPlatform struct {
	t  *testing.T
	mu sync.Mutex
	// respond, if set, is called first on each call; a non-nil error is returned to the caller
	// instead of processing the report.
	respond          func() error
	accepted         map[uint64]map[string]int64
	delays           map[uint64]time.Duration
	holders          map[uint64]string
	newestGeneration uint64
	// fenced counts the calls that were rejected for their old generation, by generation.
	fenced      map[uint64]int
	calls       int
	holderOrder []string
}

func newCheckingPlatform(t *testing.T) *checkingPlatform {
	return &checkingPlatform{t: t, accepted: map[uint64]map[string]int64{}, delays: map[uint64]time.Duration{}, holders: map[uint64]string{}, fenced: map[uint64]int{}}
}

func (p *checkingPlatform) Report(_ context.Context, h Holder, r Report) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.respond != nil {
		if err := p.respond(); err != nil {
			return err
		}
	}
	return p.processReport(h, r)
}

// processReport checks and stores a report; p.mu must be held.
func (p *checkingPlatform) processReport(h Holder, r Report) error {
	if other, ok := p.holders[h.Generation]; ok && other != h.Name {
		p.t.Errorf("%s and %s both sent reports with generation %d", other, h.Name, h.Generation)
	}
	p.holders[h.Generation] = h.Name
	if h.Generation < p.newestGeneration {
		p.fenced[h.Generation]++
		return ErrFenced
	}
	p.newestGeneration = h.Generation
	if len(p.holderOrder) == 0 || p.holderOrder[len(p.holderOrder)-1] != h.Name {
		p.holderOrder = append(p.holderOrder, h.Name)
	}
	if before, ok := p.accepted[r.Window]; ok && !maps.Equal(before, r.Counts) {
		p.t.Errorf("window %d was reported with different counts: %v and %v", r.Window, before, r.Counts)
	}
	if _, ok := p.accepted[r.Window]; !ok {
		p.accepted[r.Window], p.delays[r.Window] = maps.Clone(r.Counts), time.Since(fiveSeconds.End(r.Window))
	}
	return nil
}
