package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// lateConsumers is the number of consumers that send long requests at the same time.
const lateConsumers = 12

// lateReaders: engines answer long requests with streams and read the requests' bodies on later. The
// streams end with their connections.
func lateReaders(r *run) (bool, error) {
	results, err := r.lateStreams(frozenState, modeLateReader, modeLong, 3)
	if err != nil {
		return false, err
	}
	return judgeStreams(r, results), nil
}

// lateStreams sends waves of long requests for streams to one of three gateways. The engines answer in the
// mode trouble or, without the disruption, in the mode sound.
func (r *run) lateStreams(state, trouble, sound string, waves int) ([]streamResult, error) {
	if err := r.putState(state); err != nil {
		return nil, err
	}
	mode := trouble
	if !r.trouble {
		mode = sound
	}
	for i := range 7 {
		addr, err := freeAddr()
		if err != nil {
			return nil, err
		}
		if _, err := r.startEngine(fmt.Sprintf("i-%d", i+1), addr, "assistant-llm", "ikeja", mode); err != nil {
			return nil, err
		}
	}
	var g *gateway
	for i := range 3 {
		var err error
		if g, err = r.startGateway(fmt.Sprintf("edge-ikeja-%d", i+1), "ikeja", 144); err != nil {
			return nil, err
		}
	}
	// Machines are in touch after contact-ms (4,000) without a disturbance.
	time.Sleep(4500 * time.Millisecond)
	var results []streamResult
	for wave := range waves {
		streamed, err := r.streamWave(g.front, wave*lateConsumers)
		if err != nil {
			return nil, err
		}
		results = append(results, streamed...)
	}
	return results, nil
}

// streamWave sends the requests of twelve consumers at the same time, with ids that begin at first.
func (r *run) streamWave(front string, first int) ([]streamResult, error) {
	conns := make([]*consumerConn, lateConsumers)
	for i := range conns {
		var err error
		if conns[i], err = dialConsumer(front); err != nil {
			return nil, err
		}
		// An earlier request, so that the connection is a kept one.
		if status, err := conns[i].getUnknownRoute(fmt.Sprintf("%016x", 0x1000+first+i)); err != nil || status != http.StatusNotFound {
			return nil, fmt.Errorf("first request: status %d, %v", status, err)
		}
	}
	results := make([]streamResult, len(conns))
	var wg sync.WaitGroup
	for i := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = r.streamWithBody(conns[i], fmt.Sprintf("%016x", uint64(0x9c41d07be2a35f00)+uint64(first+i)), longBody)
		}()
	}
	wg.Wait()
	return results, nil
}

// streamThenRead sends a stream and only then reads the body of the request.
func streamThenRead(c net.Conn, requestID string, body io.Reader) {
	if streamUnframed(c, requestID, longPause) {
		n, err := io.Copy(io.Discard, body)
		fmt.Printf("read the body of %s, %d bytes, error %v\n", requestID, n, err)
	}
}
