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

// envSuspendedReader makes a child process of this test binary the reader of
// TestSuspendedReaderResumes.
const envSuspendedReader = "WIRE_TEST_SUSPENDED_READER"

// readFramesFromStdin reads frames from standard input up to FrameEnd and writes one
// byte to standard error for each.
func readFramesFromStdin(t *testing.T) {
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

// Guards against a timeout after a suspension: a process that resumes finds its timer
// expired and received bytes ready at the same time, and the bytes must be read.
func TestSuspendedReaderResumes(t *testing.T) {
	if os.Getenv(envSuspendedReader) != "" {
		readFramesFromStdin(t)
		return
	}
	const readers = 10
	results := make(chan error, readers)
	for range readers {
		go func() { results <- suspendReader() }()
	}
	for range readers {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
}

func suspendReader() error {
	cmd := exec.Command(os.Args[0], "-test.run=^TestSuspendedReaderResumes$")
	cmd.Env = append(os.Environ(), envSuspendedReader+"=1")
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return errors.Wrap(err, "open standard input")
	}
	progress, err := cmd.StderrPipe()
	if err != nil {
		return errors.Wrap(err, "open standard error")
	}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start reader")
	}
	defer func() { _ = cmd.Process.Kill() }()
	enc := cbor.NewEncoder(stdin)
	if err := enc.Encode(Frame{Kind: FrameHeartbeat}); err != nil {
		return errors.Wrap(err, "send first frame")
	}
	if _, err := io.ReadFull(progress, make([]byte, 1)); err != nil {
		return errors.Wrap(err, "wait for the first frame to be read")
	}
	if err := cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return errors.Wrap(err, "suspend reader")
	}
	var frames bytes.Buffer
	_ = cbor.NewEncoder(&frames).Encode(Frame{Kind: FrameHeartbeat})
	_ = cbor.NewEncoder(&frames).Encode(Frame{Kind: FrameEnd})
	if _, err := stdin.Write(frames.Bytes()); err != nil {
		return errors.Wrap(err, "send frames")
	}
	// The test needs real time: the timeout must expire while the process is suspended.
	time.Sleep(HeartbeatTimeout + HeartbeatInterval)
	if err := cmd.Process.Signal(syscall.SIGCONT); err != nil {
		return errors.Wrap(err, "resume reader")
	}
	_, _ = io.Copy(io.Discard, progress)
	if err := cmd.Wait(); err != nil {
		return errors.Wrap(err, "reader failed although frames had arrived")
	}
	return nil
}
