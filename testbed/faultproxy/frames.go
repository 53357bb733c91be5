package faultproxy

import (
	"bytes"
	"encoding/binary"
)

// Parts of a WebSocket frame's head, RFC 6455 section 5.2.
const (
	headSize     = 2
	opcodeBits   = 0x0f
	opcodeBinary = 0x2
	maskedBit    = 0x80
	lengthBits   = 0x7f
	length16     = 126
	length64     = 127
	maskSize     = 4
)

// frameReader takes WebSocket frames out of a byte stream and returns the
// payloads of unfragmented binary ones, unmasked.
type frameReader struct {
	buffer []byte
}

func (f *frameReader) read(data []byte) [][]byte {
	f.buffer = append(f.buffer, data...)
	var payloads [][]byte
	for {
		opcode, payload, size := parseFrame(f.buffer)
		if size == 0 {
			return payloads
		}
		if opcode == opcodeBinary {
			payloads = append(payloads, payload)
		}
		f.buffer = bytes.Clone(f.buffer[size:])
	}
}

// parseFrame reads the frame at the beginning of data; a size of 0 means that
// it is not whole yet.
func parseFrame(data []byte) (opcode byte, payload []byte, size int) {
	if len(data) < headSize {
		return 0, nil, 0
	}
	length := int(data[1] & lengthBits)
	at := headSize
	switch {
	case length == length16 && len(data) >= at+2:
		length = int(binary.BigEndian.Uint16(data[at:]))
		at += 2
	case length == length64 && len(data) >= at+8:
		length = int(binary.BigEndian.Uint64(data[at:]))
		at += 8
	case length >= length16:
		return 0, nil, 0
	}
	var mask []byte
	if data[1]&maskedBit != 0 {
		if len(data) < at+maskSize {
			return 0, nil, 0
		}
		mask = data[at : at+maskSize]
		at += maskSize
	}
	if len(data) < at+length {
		return 0, nil, 0
	}
	return data[0] & opcodeBits, unmask(data[at:at+length], mask), at + length
}

func unmask(data, mask []byte) []byte {
	payload := bytes.Clone(data)
	for i := range payload {
		if mask != nil {
			payload[i] ^= mask[i%maskSize]
		}
	}
	return payload
}
