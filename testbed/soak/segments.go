package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/applepier/applepier/testbed/gateway"
)

const (
	// sharedSegment is the first segment of all prompts, and deadlyPrefix begins the ID of each
	// segment that crashes servers. soundTopics is the number of other segments.
	sharedSegment = "1a"
	deadlyPrefix  = "dead"
	soundTopics   = 12
	// deadlyWaves is the number of times at which requests with another deadly segment come. Each
	// lasts for deadlyWaveShare of the run, and then they come again deadlyInterval apart.
	deadlyWaves     = 2
	deadlyWaveShare = 0.35
	deadlyInterval  = 120 * time.Millisecond
	// superviseInterval is how often a server is checked, and serverRestartTime the longest time
	// until a crashed one is replaced.
	superviseInterval = 20 * time.Millisecond
	serverRestartTime = 1500 * time.Millisecond
	// randomKillInterval is the mean time between two kills of each server.
	randomKillInterval = 8 * time.Second
	// crashExitCode is the exit code of a server that crashes under a request.
	crashExitCode = 3
	// maxCrashDelay bounds the time from a request's arrival to the crash.
	maxCrashDelay = 80 * time.Millisecond
)

// soundSegments returns the segments of a request without a deadly one.
func soundSegments(id string) string {
	return fmt.Sprintf("%s:20,%x:20,%x:5", sharedSegment, 0x100+hashID(id)%soundTopics, hashID(id)|1<<32)
}

// deadlySegments returns the segments of a request with a deadly one, which stands at any place but
// the last.
func deadlySegments(id, deadly string) string {
	segments := strings.Split(soundSegments(id), ",")
	return strings.Join(slices.Insert(segments, int(hashID(id)%uint64(len(segments))), deadly+":10"), ",")
}

// crashesServer reports whether a request crashes the server that answers it.
func crashesServer(r *gateway.ReceivedRequest) bool {
	segments := strings.Split(r.Header.Get("X-Prefix-Hash"), ",")
	return slices.ContainsFunc(segments[:len(segments)-1], func(s string) bool { return strings.HasPrefix(s, deadlyPrefix) })
}

// answersInScript reports whether a server with the behavior of a name begins to answer requests.
func answersInScript(name string) bool {
	return !slices.Contains([]string{"refuse", "drop", "hang"}, name)
}

// crashDelay returns how long after a request's arrival it crashes its server.
func crashDelay(id string) time.Duration { return time.Duration(hashID(id) % uint64(maxCrashDelay)) }

// endsWithConnection reports whether the response to a request with a prompt has neither a length nor
// chunks.
func endsWithConnection(r *gateway.ReceivedRequest) bool {
	return r.Header.Get("X-Prefix-Hash") != "" && hashID(r.ID)%4 == 0
}

// beginAnswer sends nothing, the header, or the header and the first event of a response that the
// server's crash breaks off, with chunks or without.
func beginAnswer(c net.Conn, r *gateway.ReceivedRequest, version string) {
	kind, stream, from := parseRequest(r)
	text, lines := "", []string{"Transfer-Encoding: chunked"}
	if endsWithConnection(r) {
		lines = []string{"Connection: close"}
	}
	if isStream(kind) {
		text = versionEvent(stream, from+1, version)
	}
	if text != "" && !endsWithConnection(r) {
		text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	if hashID(r.ID)%3 > 0 {
		// If the write fails, the gateway has closed the connection.
		_, _ = io.WriteString(c, gateway.ResponseHead(r, 200, lines...)+text)
	}
}

// respondUntilClose returns a script that sends a complete response without a length or chunks, which
// ends with its connection.
func respondUntilClose(version string) gateway.Script {
	return func(c net.Conn, r *gateway.ReceivedRequest) bool {
		kind, stream, from := parseRequest(r)
		if !isStream(kind) {
			stream = r.ID
		}
		// If the write fails, the gateway has closed the connection.
		_, _ = io.WriteString(c, gateway.ResponseHead(r, 200, "Connection: close")+expectedVersionBody(kind, stream, from, version))
		return false
	}
}

// withoutServerLifecycle returns the steps other than those that stop or suspend servers.
func withoutServerLifecycle(steps []Step) []Step {
	lifecycle := []string{kindServerCrash, kindServerPause, kindServerRelease, kindServerScript, kindServerDrain, kindServerBackoff}
	return slices.DeleteFunc(steps, func(s Step) bool { return slices.Contains(lifecycle, s.Kind) })
}

// superviseServer replaces a server whenever it has crashed, and kills it from time to time, until ctx
// is done.
func (h *harness) superviseServer(ctx context.Context, s *serverProcess) {
	random := rand.New(rand.NewPCG(h.config.Seed, hashID(s.name)))
	for ; ctx.Err() == nil; sleep(ctx, superviseInterval) {
		kill := random.Float64() < superviseInterval.Seconds()/randomKillInterval.Seconds()
		if s.Running() && !kill {
			continue
		}
		endFault := h.recordFault(s.name, kindServerCrash)
		h.endServerSpan(s)
		// An error means that it has crashed already.
		_ = s.Kill()
		sleep(ctx, time.Duration(random.Int64N(int64(serverRestartTime))))
		if err := h.replace(context.WithoutCancel(ctx), s); err != nil {
			h.fail(err)
		}
		endFault()
	}
}

// sendDeadlyWaves sends requests with a deadly segment to gateways at random, in waves with a segment
// each, until ctx is done.
func (h *harness) sendDeadlyWaves(ctx context.Context) {
	random := rand.New(rand.NewPCG(h.config.Seed, 1<<40))
	pause := time.Duration((1 - deadlyWaves*deadlyWaveShare) / (deadlyWaves + 1) * float64(h.config.For))
	for wave := range deadlyWaves {
		sleep(ctx, pause)
		deadly := fmt.Sprintf("%s%d", deadlyPrefix, wave)
		for n, end := 0, time.Now().Add(time.Duration(deadlyWaveShare*float64(h.config.For))); time.Now().Before(end) && ctx.Err() == nil; n++ {
			h.sendDeadly(random, deadly, fmt.Sprintf("deadly-%d-%d", wave, n))
			sleep(ctx, time.Duration(random.ExpFloat64()*float64(deadlyInterval)))
		}
	}
}

// sendDeadly sends one request with a deadly segment to a gateway at random.
func (h *harness) sendDeadly(random *rand.Rand, deadly, id string) {
	g := h.gateways[random.IntN(len(h.gateways))]
	kinds := []string{kindSafe, kindUnsafe, kindStream, kindResume}
	c := &caller{gateway: g.name, addr: g.frontProxy.addr(), random: random, state: h.states}
	if !c.connect(context.Background()) {
		return
	}
	call := Call{ID: id, Kind: kinds[random.IntN(len(kinds))], Key: permanentKey, Segments: deadlySegments(id, deadly), Deadly: deadly}
	h.recordCall(c.send(call))
	c.closeConn()
}
