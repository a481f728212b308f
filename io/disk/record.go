package disk

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// A record is a head and a protobuf payload. The head has, in little endian:
// magic (4 bytes), payload length (4), checksum (8), synced length (8). The
// checksum is xxhash64 over the number of the file, the offset of the record,
// payload length, synced length and payload, so a record that was copied to
// another place is not valid.
const (
	recordMagic    = 0x70617079
	headBytes      = 24
	splitBytes     = 1 << 20 // entries are split into records of about this size
	maxRecordBytes = 4 << 20
)

// appendRecord adds a record to buf, which starts at offset base of the file.
func appendRecord(buf []byte, file, base, synced uint64, m proto.Message) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, headBytes)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	head, payload := buf[start:start+headBytes], buf[start+headBytes:]
	if len(payload) > maxRecordBytes {
		return nil, errors.Errorf("record of %d bytes exceeds %d", len(payload), maxRecordBytes)
	}
	seal(head, file, base+uint64(start), synced, payload)
	return buf, nil
}

// seal fills the head of a record at offset of a file.
func seal(head []byte, file, offset, synced uint64, payload []byte) {
	binary.LittleEndian.PutUint32(head, recordMagic)
	binary.LittleEndian.PutUint32(head[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(head[16:], synced)
	binary.LittleEndian.PutUint64(head[8:], checksum(file, offset, head, payload))
}

func checksum(file, offset uint64, head, payload []byte) uint64 {
	var place [28]byte
	binary.LittleEndian.PutUint64(place[:], file)
	binary.LittleEndian.PutUint64(place[8:], offset)
	copy(place[16:], head[4:8])
	copy(place[20:], head[16:24])
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(place[:])
	_, _ = d.Write(payload)
	return d.Sum64()
}

// record is a valid record of a file.
type record struct {
	payload []byte
	synced  uint64
	end     uint64 // offset after the record
}

// readRecord reads the record at offset of a file's content.
func readRecord(content []byte, file, offset uint64) (record, bool) {
	b := content[offset:]
	if len(b) < headBytes || binary.LittleEndian.Uint32(b) != recordMagic {
		return record{}, false
	}
	length := uint64(binary.LittleEndian.Uint32(b[4:]))
	if length > maxRecordBytes || length > uint64(len(b)-headBytes) {
		return record{}, false
	}
	payload := b[headBytes : headBytes+length]
	if binary.LittleEndian.Uint64(b[8:]) != checksum(file, offset, b[:headBytes], payload) {
		return record{}, false
	}
	return record{payload, binary.LittleEndian.Uint64(b[16:]), offset + headBytes + length}, true
}

// readRecords returns the valid records up to the first bad one. It fails when
// the bad one lies in the part of the file that was synced.
func readRecords(content []byte, file uint64) ([]record, error) {
	var list []record
	var offset, synced uint64
	for offset < uint64(len(content)) {
		r, ok := readRecord(content, file, offset)
		if !ok {
			break
		}
		list = append(list, r)
		offset, synced = r.end, max(synced, r.synced)
	}
	for i := offset + 1; i < uint64(len(content)) && synced <= offset; i++ {
		if r, ok := readRecord(content, file, i); ok {
			synced = max(synced, r.synced)
		}
	}
	if offset < synced || len(list) == 0 {
		return nil, errors.Wrapf(ErrDamaged, "bad record at offset %d of %d bytes, %d were synced", offset, len(content), synced)
	}
	return list, nil
}
