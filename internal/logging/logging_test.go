package logging

import (
	"bytes"
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

// A value with a line break or quotes must not forge a second line or another field.
func TestWritesOneLinePerEvent(t *testing.T) {
	var out bytes.Buffer
	log, err := newLogger(&out, "", "entry-1")
	if err != nil {
		t.Fatal(err)
	}
	log.Debug(EventConnected)
	log.Info(EventRequestRefused, Request("r-1"), Class("flag"), Reason("two\nlines event=\"forged\""))
	log.Warn(EventDisconnected, Peer("engine-1"))

	if err := log.Sync(); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
	if len(lines) != 2 {
		t.Fatalf("got %d lines, want 2:\n%s", len(lines), out.String())
	}
	_, first, _ := strings.Cut(lines[0], " ")
	want := `level=info event=request_refused process=entry-1 request=r-1 class=flag reason="two\nlines event=\"forged\""`
	if first != want {
		t.Errorf("got  %s\nwant %s", first, want)
	}
	if !strings.HasPrefix(lines[0], "ts=") {
		t.Errorf("no time in %s", lines[0])
	}
	if !strings.HasSuffix(lines[1], "level=warn event=disconnected process=entry-1 peer=engine-1") {
		t.Errorf("got %s", lines[1])
	}
}

func TestUnknownLevel(t *testing.T) {
	if _, err := New("loud", "entry-1"); !errors.Is(err, ErrLevel) {
		t.Fatalf("got %v, want ErrLevel", err)
	}
}
