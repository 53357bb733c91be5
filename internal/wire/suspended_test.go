package wire

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// envStoppedReader makes a process of this test binary the reader of
// TestReaderThatStoodStillReadsOn.
const envStoppedReader = "WIRE_TEST_STOPPED_READER"

// readStdin reads frames from the standard input to FrameEnd, and tells each on
// the standard error by a byte.
func readStdin(t *testing.T) {
	r := NewFrameReader(os.Stdin, func() { os.Exit(3) })
	defer r.Close()
	for {
		f, err := r.Next()
		if err != nil {
			t.Fatal(err)
		}
		_, _ = os.Stderr.Write([]byte{'.'})
		if f.Kind == FrameEnd {
			return
		}
	}
}

// A process that stands still finds the bytes that came and its timer due at
// once when it goes on: the bytes count.
func TestReaderThatStoodStillReadsOn(t *testing.T) {
	if os.Getenv(envStoppedReader) != "" {
		readStdin(t)
		return
	}
	const readers = 10
	failed := make(chan error, readers)
	for range readers {
		go func() { failed <- standStill() }()
	}
	for range readers {
		if err := <-failed; err != nil {
			t.Error(err)
		}
	}
}

func standStill() error {
	cmd := exec.Command(os.Args[0], "-test.run=^TestReaderThatStoodStillReadsOn$")
	cmd.Env = append(os.Environ(), envStoppedReader+"=1")
	to, err := cmd.StdinPipe()
	if err != nil {
		return errors.Wrap(err, "input")
	}
	told, err := cmd.StderrPipe()
	if err != nil {
		return errors.Wrap(err, "output")
	}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start")
	}
	defer func() { _ = cmd.Process.Kill() }()
	enc := cbor.NewEncoder(to)
	if err := enc.Encode(Frame{Kind: FrameHeartbeat}); err != nil {
		return errors.Wrap(err, "first frame")
	}
	if _, err := io.ReadFull(told, make([]byte, 1)); err != nil {
		return errors.Wrap(err, "first frame told")
	}
	if err := cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return errors.Wrap(err, "stop")
	}
	var frames bytes.Buffer
	_ = cbor.NewEncoder(&frames).Encode(Frame{Kind: FrameHeartbeat})
	_ = cbor.NewEncoder(&frames).Encode(Frame{Kind: FrameEnd})
	if _, err := to.Write(frames.Bytes()); err != nil {
		return errors.Wrap(err, "frames")
	}
	// The time that passes is what is tested here: the bound passes while the
	// process stands still.
	time.Sleep(SilenceBound + HeartbeatEvery)
	if err := cmd.Process.Signal(syscall.SIGCONT); err != nil {
		return errors.Wrap(err, "continue")
	}
	_, _ = io.Copy(io.Discard, told)
	if err := cmd.Wait(); err != nil {
		return errors.Wrap(err, "cut though frames had come")
	}
	return nil
}
