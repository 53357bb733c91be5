package faultproxy

import (
	"bytes"
	"encoding/binary"
)

// Layout of a WebSocket frame header (RFC 6455, section 5.2); sizes in bytes.
const (
	frameHeaderSize = 2
	opcodeBits      = 0x0f
	opcodeBinary    = 0x2
	maskedBit       = 0x80
	lengthBits      = 0x7f
	length16        = 126
	length64        = 127
	maskSize        = 4
)

// frameParser parses WebSocket frames from a byte stream. It returns the unmasked
// payloads of binary frames and doesn't reassemble fragmented messages.
type frameParser struct {
	buffer []byte
}

func (f *frameParser) parse(data []byte) [][]byte {
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

// parseFrame parses the frame at the beginning of data. A size of 0 means that
// the frame is incomplete.
func parseFrame(data []byte) (opcode byte, payload []byte, size int) {
	if len(data) < frameHeaderSize {
		return 0, nil, 0
	}
	length := int(data[1] & lengthBits)
	offset := frameHeaderSize
	switch {
	case length == length16 && len(data) >= offset+2:
		length = int(binary.BigEndian.Uint16(data[offset:]))
		offset += 2
	case length == length64 && len(data) >= offset+8:
		length = int(binary.BigEndian.Uint64(data[offset:]))
		offset += 8
	case length >= length16:
		return 0, nil, 0
	}
	var mask []byte
	if data[1]&maskedBit != 0 {
		if len(data) < offset+maskSize {
			return 0, nil, 0
		}
		mask = data[offset : offset+maskSize]
		offset += maskSize
	}
	if len(data) < offset+length {
		return 0, nil, 0
	}
	return data[0] & opcodeBits, unmask(data[offset:offset+length], mask), offset + length
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
