package callers

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/applepier/applepier/internal/logging"
)

// pipes is a listener of connections within the process.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipes) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (l *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// site is a Server in a bubble, and callers of it.
type site struct {
	*Server
	t     *testing.T
	pipes *pipes
	limit atomic.Int64
	over  chan struct{}
}

func newSite(t *testing.T, handler http.HandlerFunc, log *zap.Logger) *site {
	s := &site{t: t, pipes: &pipes{make(chan net.Conn), make(chan struct{})}, over: make(chan struct{})}
	s.limit.Store(int64(10 * time.Second))
	s.Server = New(s.pipes, Config{Handler: handler, HeaderTime: headTime, MaxHeader: 1 << 16, Limit: s.inForce, Log: log})
	go func() { defer close(s.over); s.Serve() }()
	return s
}

// inForce is the limit for idle connections.
func (s *site) inForce() time.Duration { return time.Duration(s.limit.Load()) }

// end ends the server at once.
func (s *site) end() {
	_ = s.Close()
	<-s.over
}

// dial opens a caller's connection.
func (s *site) dial() (net.Conn, *bufio.Reader) {
	ours, theirs := net.Pipe()
	s.pipes.conns <- ours
	return theirs, bufio.NewReader(theirs)
}

// headTime bounds the reading of a head.
const headTime = 10 * time.Second

// whole is an answer's body.
const whole = "done"

const get = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n"

func answered(in *bufio.Reader) error {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || string(body) != whole) {
		err = errors.Errorf("status %d, %q", resp.StatusCode, body)
	}
	return err
}

func ask(c net.Conn, in *bufio.Reader) error {
	if _, err := io.WriteString(c, get); err != nil {
		return err
	}
	return answered(in)
}

// lasting answers after as long as the request's path says, or at once.
func lasting(w http.ResponseWriter, r *http.Request) {
	if long, err := time.ParseDuration(strings.TrimPrefix(r.URL.Path, "/")); err == nil {
		select {
		case <-time.After(long):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	_, _ = io.WriteString(w, whole)
}

func TestRestsEndAfterTheLimitInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zap.InfoLevel)
		s := newSite(t, lasting, zap.New(core))
		c, in := s.dial()
		if err := ask(c, in); err != nil {
			t.Fatal(err)
		}
		time.Sleep(s.inForce() - time.Second)
		// A request that lasts longer than the limit isn't a rest.
		if _, err := io.WriteString(c, "GET /1m HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		s.limit.Store(int64(4 * time.Second))
		if err := answered(in); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("the rest ends with %v", err)
		}
		if took := time.Since(began); took != s.inForce()+idleMargin+lastLook {
			t.Errorf("closed after %v", took)
		}
		synctest.Wait()
		if len(s.open) != 0 {
			t.Error("a closed connection counts as open")
		}
		if lines.FilterMessage(logging.EventCallerClosed).Len() != 1 {
			t.Errorf("lines: %v", lines.All())
		}
		s.end()
	})
}

func TestRaisedLimitHoldsForRestsThatHaveBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, lasting, zap.NewNop())
		c, in := s.dial()
		if err := ask(c, in); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		s.limit.Store(int64(time.Minute))
		time.Sleep(50 * time.Second)
		if err := ask(c, in); err != nil {
			t.Errorf("after 51 s of rest under a limit of a minute: %v", err)
		}
		s.end()
	})
}

func TestLoweredLimitHoldsForRestsThatHaveBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, lasting, zap.NewNop())
		c, in := s.dial()
		if err := ask(c, in); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		s.limit.Store(int64(time.Second))
		s.Lower()
		if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("the rest ends with %v", err)
		}
		if took := time.Since(began); took != time.Second+idleMargin+lastLook {
			t.Errorf("closed after %v", took)
		}
		s.end()
	})
}

// What has arrived by the end of a rest is served, though nobody has read it yet.
func TestWhatArrivedByTheEndOfARestIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, lasting, zap.NewNop())
		for range 100 {
			c, in := s.dial()
			if err := ask(c, in); err != nil {
				t.Fatal(err)
			}
			time.Sleep(s.inForce() + idleMargin)
			if err := ask(c, in); err != nil {
				t.Errorf("asked at the very end of a rest: %v", err)
			}
			_ = c.Close()
		}
		s.end()
	})
}

// A request that came together with the one before it isn't a rest, however
// long it lasts and its body takes.
func TestRequestThatCameWithTheOneBeforeIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.ReadAll(r.Body); err != nil {
				t.Errorf("reading a body: %v", err)
			}
			lasting(w, r)
		}, zap.NewNop())
		c, in := s.dial()
		go func() {
			_, _ = io.WriteString(c, get+"POST /1m HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n\r\n")
			time.Sleep(s.inForce() + 2*idleMargin)
			_, _ = io.WriteString(c, "body")
		}()
		for range 2 {
			if err := answered(in); err != nil {
				t.Error(err)
			}
		}
		s.end()
	})
}

func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, lasting, zap.NewNop())
		rests, restsIn := s.dial()
		if err := ask(rests, restsIn); err != nil {
			t.Fatal(err)
		}
		works, worksIn := s.dial()
		if _, err := io.WriteString(works, "GET /3s HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		opened, openedIn := s.dial()
		synctest.Wait()
		began := time.Now()
		drained := make(chan time.Duration)
		go func() {
			if err := s.Drain(t.Context()); err != nil {
				t.Error(err)
			}
			drained <- time.Since(began)
		}()
		if _, err := restsIn.ReadByte(); !errors.Is(err, io.EOF) || time.Since(began) > lastLook {
			t.Errorf("a connection that rests ends with %v after %v", err, time.Since(began))
		}
		time.Sleep(firstRequest / 2)
		if err := ask(opened, openedIn); err != nil {
			t.Errorf("a connection opened just before: %v", err)
		}
		if err := answered(worksIn); err != nil {
			t.Errorf("a request in progress: %v", err)
		}
		if took := <-drained; took != 3*time.Second {
			t.Errorf("drained after %v", took)
		}
		<-s.over
	})
}

// What was in progress at a stop ends, and nothing follows it on its connection:
// a request that is taken late would be broken off at the end of the grace
// period.
func TestNothingFollowsWhatADrainLetsEnd(t *testing.T) {
	for name, beside := range map[string]string{"asked after the answer": "", "asked beside the request": get} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var handed atomic.Int32
				s := newSite(t, func(w http.ResponseWriter, r *http.Request) { handed.Add(1); lasting(w, r) }, zap.NewNop())
				c, in := s.dial()
				if _, err := io.WriteString(c, "GET /3s HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				synctest.Wait()
				if _, err := io.WriteString(c, beside); err != nil {
					t.Fatal(err)
				}
				drained := make(chan error)
				go func() { drained <- s.Drain(t.Context()) }()
				if err := answered(in); err != nil {
					t.Error(err)
				}
				if beside == "" {
					// Whether it can still be written is up to the server.
					_, _ = io.WriteString(c, get)
				}
				if err := answered(in); err == nil {
					t.Error("a request that followed was answered")
				}
				if err := <-drained; err != nil {
					t.Error(err)
				}
				<-s.over
				if n := handed.Load(); n != 1 {
					t.Errorf("%d requests were handed on", n)
				}
			})
		})
	}
}

func TestDrainBreaksOffWhatLastsTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, lasting, zap.NewNop())
		c, in := s.dial()
		if _, err := io.WriteString(c, "GET /1h HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if err := s.Drain(ctx); !errors.Is(err, ErrBrokenOff) {
			t.Errorf("got %v", err)
		}
		if err := answered(in); err == nil {
			t.Error("a request that was broken off has an answer")
		}
		<-s.over
	})
}

func TestDrainOfNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, lasting, zap.NewNop())
		if err := s.Drain(t.Context()); err != nil {
			t.Error(err)
		}
		<-s.over
	})
}

// What ended a connection is told from one that this process closed.
func TestEndOfAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ends := make(chan End, 1)
		s := newSite(t, func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			ends <- EndOf(r.Context())
		}, zap.NewNop())
		c, _ := s.dial()
		if _, err := io.WriteString(c, get); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		_ = c.Close()
		if e := <-ends; e.Cause != CauseCaller || e.Requests != 1 {
			t.Errorf("the caller closed: %+v", e)
		}
		c, _ = s.dial()
		if _, err := io.WriteString(c, get); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		s.end()
		if e := <-ends; e.Cause != CauseHere {
			t.Errorf("closed here: %+v", e)
		}
	})
}

func TestPanicsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zap.InfoLevel)
		s := newSite(t, func(http.ResponseWriter, *http.Request) { panic("broken") }, zap.New(core))
		c, in := s.dial()
		if err := ask(c, in); err == nil {
			t.Error("an answer by a handler that panicked")
		}
		synctest.Wait()
		if lines.FilterMessage(logging.EventServerError).Len() != 1 {
			t.Errorf("lines: %v", lines.All())
		}
		s.end()
	})
}
