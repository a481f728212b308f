package disk

import (
	"testing"

	"papayarock/core/log"
)

// Guards against a log file of any content that panics the replica, and against
// one that is accepted with records that do not follow each other. The payload
// stands in valid records, since random bytes rarely have a valid checksum.
func FuzzRecords(f *testing.F) {
	f.Add([]byte{}, []byte{}, []byte{}, uint16(0))
	f.Add([]byte("\x08\x01"), []byte("\x1a\x04\x08\x02\x10\x01"), []byte("torn"), uint16(3))
	f.Fuzz(func(t *testing.T, first, second, tail []byte, cut uint16) {
		const file = 3
		content := raw(raw(nil, file, first), file, second)
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

// raw appends a valid record with any payload.
func raw(buf []byte, file uint64, payload []byte) []byte {
	start := len(buf)
	buf = append(buf, make([]byte, headBytes)...)
	buf = append(buf, payload...)
	seal(buf[start:start+headBytes], file, uint64(start), 0, payload)
	return buf
}
