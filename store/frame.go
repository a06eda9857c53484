package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"slices"

	"github.com/juju/errors"
)

// errFrameTooLarge means that a record exceeds maxBodyBytes.
const errFrameTooLarge = errors.ConstError("record is too large")

const (
	// frameHeaderBytes is the size of the header of a frame: magic number, length
	// and checksum.
	frameHeaderBytes = 12
	// maxBodyBytes bounds the body of a frame. A header with a greater length is
	// considered broken.
	maxBodyBytes = 1 << 30
)

var (
	magic      = []byte("RBR1")
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// writeFrame writes the frame of an encoded record without holding the whole of
// it in memory. It encodes the record three times: for the length, for the
// checksum and for the content.
func writeFrame(w io.Writer, record any) error {
	var size countingWriter
	if err := encodeTo(&size, record); err != nil {
		return fmt.Errorf("measure frame: %w", err)
	}
	if size > maxBodyBytes {
		return fmt.Errorf("%w: %d bytes", errFrameTooLarge, size)
	}
	header := binary.BigEndian.AppendUint32(slices.Clone(magic), uint32(size))
	sum := crc32.New(castagnoli)
	_, _ = sum.Write(header[len(magic):])
	if err := encodeTo(sum, record); err != nil {
		return fmt.Errorf("checksum of frame: %w", err)
	}
	if _, err := w.Write(binary.BigEndian.AppendUint32(header, sum.Sum32())); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	if err := encodeTo(w, record); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

// countingWriter counts the bytes that are written to it.
type countingWriter int64

// Write implements io.Writer.
func (c *countingWriter) Write(b []byte) (int, error) {
	*c += countingWriter(len(b))
	return len(b), nil
}

// appendFrame appends a body with its frame header to a buffer.
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

// decodeFrame returns the body of the frame at the start of data and the size of
// the frame. It returns false if the frame is incomplete or broken.
func decodeFrame(data []byte) (body []byte, size int, ok bool) {
	if len(data) < frameHeaderBytes || !bytes.Equal(data[:4], magic) {
		return nil, 0, false
	}
	length := binary.BigEndian.Uint32(data[4:8])
	if length > maxBodyBytes || int(length) > len(data)-frameHeaderBytes {
		return nil, 0, false
	}
	size = frameHeaderBytes + int(length)
	body = data[frameHeaderBytes:size]
	if checksum(data[4:8], body) != binary.BigEndian.Uint32(data[8:12]) {
		return nil, 0, false
	}
	return body, size, true
}

// findFrame returns the offset of the first valid frame at or after an offset, or
// -1 if there is none.
func findFrame(data []byte, from int) int {
	for from < len(data) {
		i := bytes.Index(data[from:], magic)
		if i < 0 {
			return -1
		}
		if _, _, ok := decodeFrame(data[from+i:]); ok {
			return from + i
		}
		from += i + 1
	}
	return -1
}
