package policy

import "testing"

func TestRunsAreCopiedOnlyAfterTrouble(t *testing.T) {
	var g CopyGuard
	if g.Wanted(testStart) {
		t.Error("runs are copied though nothing broke")
	}
	g.Broke(testStart)
	if !g.Wanted(testStart.Add(copyFor - 1)) {
		t.Error("runs aren't copied after a stream broke off")
	}
	if g.Wanted(testStart.Add(copyFor)) {
		t.Error("runs are copied for ever")
	}
}

func TestCopiesGoToTheLeastLoadedOfTheZone(t *testing.T) {
	c, servers := newTestChooser(), serversOf(5)
	for i := range servers {
		servers[i].Running = 10
	}
	servers[0].Zone, servers[0].Running = "other", 0
	servers[2].Running = 4
	servers[3].Running, servers[3].Leaving = 1, true
	if at := c.CopyPlace(testStart, servers[1].Name, servers); at != 2 {
		t.Errorf("the copy goes to %d, 2 has the least load in the zone", at)
	}
	if at := c.CopyPlace(testStart, servers[2].Name, servers); at == 2 || at == 3 || at == 0 {
		t.Errorf("the copy of a run at 2 goes to %d", at)
	}
	if at := c.CopyPlace(testStart, servers[1].Name, servers[:2]); at != 0 {
		t.Errorf("the copy goes to %d, the other zone has the only other server", at)
	}
	if at := c.CopyPlace(testStart, servers[1].Name, servers[1:2]); at != -1 {
		t.Errorf("the copy goes to %d, there is no other server", at)
	}
}
