package agent

import (
	"testing"
	"time"

	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/policy"
)

func TestNewTicketCopiesSchedulingFields(t *testing.T) {
	m := testTicket("r")
	m.Preemptible = true
	m.Asks = 4
	m.Due = policy.MilestoneCompletion
	got := newTicket(time.Now(), nil, m, &targets.Set{}).policy
	if got.Due != policy.MilestoneCompletion || !got.Preemptible || got.Asks != 4 {
		t.Errorf("got %+v", got)
	}
}
