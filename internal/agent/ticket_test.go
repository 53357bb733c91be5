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
	m.MaxEngines = 4
	m.DeadlineMilestone = policy.MilestoneCompletion
	got := newTicket(time.Now(), nil, m, &targets.Set{}).policy
	if got.DeadlineMilestone != policy.MilestoneCompletion || !got.Preemptible || got.MaxEngines != 4 {
		t.Errorf("got %+v", got)
	}
}
