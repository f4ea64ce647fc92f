package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/apricotspoke/apricotspoke/protocol/fault"
)

// A frame is one synced write: magic number, length of the payload, sequence
// number, checksum of the payload, checksum of the header, payload. Each frame is
// synced before the next one is written, so only the last frame of a file can be
// torn.
const (
	frameMagic      = 0x31575041 // "APW1"
	headerBytes     = 28
	maxPayloadBytes = 1 << 30 // a header with a larger length is treated as damaged
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func encodeFrame(sequence uint64, payload []byte) []byte {
	frame := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(frame[0:], frameMagic)
	binary.LittleEndian.PutUint64(frame[4:], uint64(len(payload)))
	binary.LittleEndian.PutUint64(frame[12:], sequence)
	binary.LittleEndian.PutUint32(frame[20:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(frame[24:], crc32.Checksum(frame[:24], castagnoli))
	return append(frame, payload...)
}

type frameHeader struct {
	length   uint64
	sequence uint64
	checksum uint32
}

func decodeHeader(data []byte) (frameHeader, bool) {
	if len(data) < headerBytes || binary.LittleEndian.Uint32(data) != frameMagic {
		return frameHeader{}, false
	}
	if crc32.Checksum(data[:24], castagnoli) != binary.LittleEndian.Uint32(data[24:]) {
		return frameHeader{}, false
	}
	h := frameHeader{
		length:   binary.LittleEndian.Uint64(data[4:]),
		sequence: binary.LittleEndian.Uint64(data[12:]),
		checksum: binary.LittleEndian.Uint32(data[20:]),
	}
	return h, h.length <= maxPayloadBytes
}

// decodeFrames returns the payloads of a file's frames and the length of its torn
// tail in bytes. A damaged frame that another frame follows is corruption.
func decodeFrames(name string, data []byte) (payloads [][]byte, torn int, err error) {
	offset := 0
	for offset < len(data) {
		rest := data[offset:]
		h, ok := decodeHeader(rest)
		if !ok {
			if hasLaterFrame(rest) {
				return nil, 0, corrupt(name, offset, "a frame header is damaged")
			}
			return payloads, len(rest), nil
		}
		end := headerBytes + int(h.length)
		if end > len(rest) {
			return payloads, len(rest), nil
		}
		payload := rest[headerBytes:end]
		if crc32.Checksum(payload, castagnoli) != h.checksum {
			if end < len(rest) {
				return nil, 0, corrupt(name, offset, "the checksum of a frame is wrong")
			}
			return payloads, len(rest), nil
		}
		if h.sequence != uint64(len(payloads)) {
			return nil, 0, corrupt(name, offset, "a frame is missing")
		}
		payloads = append(payloads, payload)
		offset += end
	}
	return payloads, 0, nil
}

// hasLaterFrame reports whether a valid frame header follows anywhere after the first
// byte.
func hasLaterFrame(data []byte) bool {
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for from := 1; from < len(data); {
		at := bytes.Index(data[from:], magic)
		if at < 0 {
			return false
		}
		if _, ok := decodeHeader(data[from+at:]); ok {
			return true
		}
		from += at + 1
	}
	return false
}

func corrupt(name string, offset int, what string) error {
	return fault.New(fault.Corrupt, "%s in %s at byte %d", what, name, offset)
}
