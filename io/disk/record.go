package disk

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// A record consists of a header and a protobuf payload. The header fields are
// little-endian: magic (4 bytes), payload length (4), checksum (8) and synced
// length (8). The checksum is xxhash64 over the file number, record offset,
// payload length, synced length and payload, so a record copied to another file
// or offset is invalid.
const (
	recordMagic       = 0x70617079
	headerBytes       = 24
	splitPayloadBytes = 1 << 20 // approximate payload size above which data is split into several records
	maxPayloadBytes   = 4 << 20
)

// appendRecord appends a record to buf, whose first byte is at offset base of the
// file with the number file. synced is the length up to which that file is known
// to be synced.
func appendRecord(buf []byte, file, base, synced uint64, m proto.Message) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, headerBytes)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	header, payload := buf[start:start+headerBytes], buf[start+headerBytes:]
	if len(payload) > maxPayloadBytes {
		return nil, errors.Errorf("record payload of %d bytes exceeds limit of %d", len(payload), maxPayloadBytes)
	}
	fillHeader(header, file, base+uint64(start), synced, payload)
	return buf, nil
}

// fillHeader sets the header of a record with the given payload, which starts at
// offset of the file with the number file.
func fillHeader(header []byte, file, offset, synced uint64, payload []byte) {
	binary.LittleEndian.PutUint32(header, recordMagic)
	binary.LittleEndian.PutUint32(header[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(header[16:], synced)
	binary.LittleEndian.PutUint64(header[8:], checksum(file, offset, header, payload))
}

func checksum(file, offset uint64, header, payload []byte) uint64 {
	var prefix [28]byte
	binary.LittleEndian.PutUint64(prefix[:], file)
	binary.LittleEndian.PutUint64(prefix[8:], offset)
	copy(prefix[16:], header[4:8])
	copy(prefix[20:], header[16:24])
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(prefix[:])
	_, _ = d.Write(payload)
	return d.Sum64()
}

// record is a valid record read from a file.
type record struct {
	payload []byte
	synced  uint64
	end     uint64 // file offset of the first byte after the record
}

// readRecord reads the record at offset in content, the content of a file. It
// reports whether the record is valid.
func readRecord(content []byte, file, offset uint64) (record, bool) {
	b := content[offset:]
	if len(b) < headerBytes || binary.LittleEndian.Uint32(b) != recordMagic {
		return record{}, false
	}
	length := uint64(binary.LittleEndian.Uint32(b[4:]))
	if length > maxPayloadBytes || length > uint64(len(b)-headerBytes) {
		return record{}, false
	}
	payload := b[headerBytes : headerBytes+length]
	if binary.LittleEndian.Uint64(b[8:]) != checksum(file, offset, b[:headerBytes], payload) {
		return record{}, false
	}
	return record{payload, binary.LittleEndian.Uint64(b[16:]), offset + headerBytes + length}, true
}

// readRecords returns the valid records at the start of a file. It fails if there
// are none, or if the first invalid record is corrupted rather than part of a torn
// tail, which is the case if it lies below the synced length stated by any valid
// record of the file.
func readRecords(content []byte, file uint64) ([]record, error) {
	var records []record
	var offset, synced uint64
	for offset < uint64(len(content)) {
		r, ok := readRecord(content, file, offset)
		if !ok {
			break
		}
		records = append(records, r)
		offset, synced = r.end, max(synced, r.synced)
	}
	// A corrupted record may be followed by valid ones. Look for them at every
	// offset, because the length of the corrupted record is unknown.
	for i := offset + 1; i < uint64(len(content)) && synced <= offset; i++ {
		if r, ok := readRecord(content, file, i); ok {
			synced = max(synced, r.synced)
		}
	}
	if offset < synced || len(records) == 0 {
		return nil, errors.Wrapf(ErrCorrupt, "invalid record at offset %d of %d bytes, of which %d were synced", offset, len(content), synced)
	}
	return records, nil
}
