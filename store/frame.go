package store

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

const (
	// headerBytes is the size of a frame's magic number, length and checksum.
	headerBytes = 12
	// maxBodyBytes bounds a record. A greater length is a broken header.
	maxBodyBytes = 1 << 30
)

var (
	magic      = []byte("RBR1")
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// appendFrame appends the frame of a body to a buffer.
func appendFrame(buffer, body []byte) []byte {
	var length [4]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(body)))
	buffer = append(buffer, magic...)
	buffer = append(buffer, length[:]...)
	buffer = binary.BigEndian.AppendUint32(buffer, checksum(length[:], body))
	return append(buffer, body...)
}

func checksum(length, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, body)
}

// frameAt returns the body of the frame at the start of data and the size of
// the frame. It reports false when the frame is incomplete or broken.
func frameAt(data []byte) (body []byte, size int, ok bool) {
	if len(data) < headerBytes || !bytes.Equal(data[:4], magic) {
		return nil, 0, false
	}
	length := binary.BigEndian.Uint32(data[4:8])
	if length > maxBodyBytes || int(length) > len(data)-headerBytes {
		return nil, 0, false
	}
	size = headerBytes + int(length)
	body = data[headerBytes:size]
	if checksum(data[4:8], body) != binary.BigEndian.Uint32(data[8:12]) {
		return nil, 0, false
	}
	return body, size, true
}

// nextFrame returns the offset of the first valid frame at or after an
// offset, or -1.
func nextFrame(data []byte, from int) int {
	for from < len(data) {
		i := bytes.Index(data[from:], magic)
		if i < 0 {
			return -1
		}
		if _, _, ok := frameAt(data[from+i:]); ok {
			return from + i
		}
		from += i + 1
	}
	return -1
}
