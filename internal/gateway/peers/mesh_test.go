package peers

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/applepier/applepier/internal/boottime"
	"github.com/applepier/applepier/internal/gateway/follow"
	"github.com/applepier/applepier/policy"
)

// meshes returns two meshes on loopback that know each other, and what the
// second was told to take as proved.
func meshes(t *testing.T) (a, b *Mesh, proved *[]Proof) {
	t.Helper()
	proved = &[]Proof{}
	listen := func(name string, prove func(Proof)) *Mesh {
		m, err := Listen(Config{
			Self:      Entry{Name: name, Addr: "127.0.0.1:0"},
			Loads:     func() []Load { return nil },
			News:      func() policy.News { return policy.News{} },
			Shortages: func() map[string]policy.Shortage { return nil },
			Proof:     func() Proof { return Proof{Version: 7, At: boottime.Now() - time.Second} },
			Prove:     prove,
			Following: func() Following { return Following{Able: true} },
			Log:       zap.NewNop(),
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(m.Close)
		return m
	}
	a = listen("a", func(Proof) {})
	b = listen("b", func(p Proof) { *proved = append(*proved, p) })
	return a, b, proved
}

// pass has from write a datagram for to and hands it over.
func pass(t *testing.T, from, to *Mesh) {
	t.Helper()
	from.table.know(to.Self.Name, to.conn.LocalAddr().String())
	from.broadcast()
	addr, in, err := to.receive(make([]byte, maxDatagram))
	if err != nil {
		t.Fatal(err)
	}
	to.take(addr, in)
}

func TestProofCountsFromTheEchoedStamp(t *testing.T) {
	a, b, proved := meshes(t)
	pass(t, a, b)
	if len(*proved) != 0 {
		t.Fatal("a proof was taken from a gateway that echoed nothing")
	}
	before := boottime.Now()
	pass(t, b, a)
	pass(t, a, b)
	if len(*proved) != 1 {
		t.Fatalf("%d proofs, want 1", len(*proved))
	}
	p := (*proved)[0]
	if p.Version != 7 || p.At > boottime.Now()-time.Second || p.At < before-time.Second-10*time.Millisecond {
		t.Fatalf("proof %+v, want a second before %v", p, before)
	}
}

// A VM that lost power counts its clock from zero. A stamp of the time before
// would prove the desired state for as long as the VM had been up.
func TestStampOfAnEarlierStartProvesNothing(t *testing.T) {
	a, b, proved := meshes(t)
	pass(t, b, a)
	b.boot++
	pass(t, a, b)
	if len(*proved) != 0 {
		t.Fatalf("a stamp of an earlier start proved %+v", *proved)
	}
}

func TestSilentGatewaysAreGoneAfterAWhile(t *testing.T) {
	a, b, _ := meshes(t)
	now := time.Now()
	pass(t, a, b)
	b.table.know("listed", "127.0.0.1:1")
	if names := b.table.silent(now.Add(goneAfter), goneAfter); len(names) != 0 {
		t.Errorf("gone too soon: %v", names)
	}
	later := now.Add(goneAfter + time.Minute)
	if names := b.table.silent(later, goneAfter); len(names) != 2 {
		t.Errorf("%v are gone, a and listed were silent", names)
	}
	b.Change(0, follow.Batch[Entry]{Removed: []string{"a", "b"}})
	if b.Listed() != 2 || len(b.Unlisted) != 1 {
		t.Errorf("%d listed, unlisted %d; a is forgotten, b hears that it was unlisted", b.Listed(), len(b.Unlisted))
	}
}

// Gateways that hear of each other agree on who comes first, and who falls silent
// comes before nobody.
func TestGatewaysAgreeOnTheirOrder(t *testing.T) {
	a, b, _ := meshes(t)
	pass(t, a, b)
	pass(t, b, a)
	if a.Before()+b.Before() != 1 {
		t.Fatalf("%d come before a, %d before b", a.Before(), b.Before())
	}
	later := time.Now().Add(2 * silentAfter)
	if got := a.table.before(later, "a") + b.table.before(later, "b"); got != 0 {
		t.Errorf("%d silent gateways come before others", got)
	}
}

// A list that lacks this gateway's entry, though it was read after the entry was written, is
// an older copy's; one that was read before is as it should be.
func TestOlderListHasTheGatewayRegisterAgain(t *testing.T) {
	m, _, _ := meshes(t)
	unlisted := func() bool {
		select {
		case <-m.Unlisted:
			return true
		default:
			return false
		}
	}
	m.Reset(boottime.Now(), follow.Batch[Entry]{})
	if unlisted() {
		t.Error("the first list lacks who hasn't registered yet")
	}
	before := boottime.Now()
	m.Registered()
	m.Reset(before, follow.Batch[Entry]{})
	if unlisted() {
		t.Error("a list from before the registration")
	}
	m.Reset(boottime.Now(), follow.Batch[Entry]{Items: []Entry{m.Self}})
	if unlisted() {
		t.Error("it is listed")
	}
	m.Reset(boottime.Now(), follow.Batch[Entry]{Items: []Entry{{Name: "other"}}})
	if !unlisted() {
		t.Error("an older copy's list isn't noticed")
	}
}
