package agent

import (
	"testing"
	"time"

	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/policy"
)

func TestTicketTellsThePolicyWhatItsDeadlineIsFor(t *testing.T) {
	set := &targets.Set{Classes: []targets.Class{
		{Name: "hazard-flag", FirstToken: time.Second},
		{Name: "summary", Tier: 4, Completion: time.Minute},
	}}
	m := testTicket("r")
	m.Preemptible = true
	if got := newTicket(time.Now(), nil, m, set).policy; got.Due != policy.MilestoneFirstToken || !got.Preemptible {
		t.Errorf("first token: %+v", got)
	}
	m.Class = "summary"
	// Its slack already leaves half of the target to the answer.
	if got := newTicket(time.Now(), nil, m, set).policy; got.Due != policy.MilestoneStart {
		t.Errorf("completion: %+v", got)
	}
}
