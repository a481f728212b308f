package disk

import (
	"testing"

	"papayarock/core/log"
)

// Arbitrary log file content must not cause a panic, and replayed entries must
// have consecutive indexes. The fuzzed payloads are wrapped in valid records
// because random bytes rarely have a valid checksum.
func FuzzRecords(f *testing.F) {
	f.Add([]byte{}, []byte{}, []byte{}, uint16(0))
	f.Add([]byte("\x08\x01"), []byte("\x1a\x04\x08\x02\x10\x01"), []byte("torn"), uint16(3))
	f.Fuzz(func(t *testing.T, first, second, tail []byte, cut uint16) {
		const file = 3
		content := appendRawRecord(appendRawRecord(nil, file, first), file, second)
		content = append(content, tail...)
		content = content[:len(content)-min(int(cut), len(content))]
		records, err := readRecords(content, file)
		if err != nil {
			return
		}
		var s Store
		var stored log.Stored
		if s.replay(records, &stored) != nil {
			return
		}
		for i := 1; i < len(stored.Entries); i++ {
			if stored.Entries[i].Index != stored.Entries[i-1].Index+1 {
				t.Fatalf("entry %d follows entry %d", stored.Entries[i].Index, stored.Entries[i-1].Index)
			}
		}
	})
}

// appendRawRecord appends a valid record with an arbitrary payload.
func appendRawRecord(buf []byte, file uint64, payload []byte) []byte {
	start := len(buf)
	buf = append(buf, make([]byte, headerBytes)...)
	buf = append(buf, payload...)
	fillHeader(buf[start:start+headerBytes], file, uint64(start), 0, payload)
	return buf
}
