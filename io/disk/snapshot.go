package disk

import (
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"papayarock/core/log"
	"papayarock/io/wire"
)

// writeSnapshot writes a snapshot file, which consists of a header record and
// data records of type LogMessage with only Data set. All are synced before the
// file is renamed to its final name.
func (s *Store) writeSnapshot(snapshot log.Snapshot) error {
	f, err := s.createAtomic(fileName(snapshotPrefix, snapshot.Index), func(f File) error {
		header := &wire.LogSnapshotHead{
			Index: snapshot.Index, Term: snapshot.Term, Members: wire.EncodeLogMembers(snapshot.Members),
			Length: uint64(len(snapshot.Data)),
		}
		var offset uint64
		write := func(m proto.Message) error {
			b, err := appendRecord(nil, snapshot.Index, offset, 0, m)
			if err != nil {
				return err
			}
			offset += uint64(len(b))
			_, err = f.Write(b)
			return err
		}
		if err := write(header); err != nil {
			return err
		}
		for data := snapshot.Data; len(data) > 0; {
			n := min(len(data), splitPayloadBytes)
			if err := write(&wire.LogMessage{Data: data[:n]}); err != nil {
				return err
			}
			data = data[n:]
		}
		return nil
	})
	if err != nil {
		return err
	}
	return f.Close()
}

// readSnapshot reads the snapshot at index. Any invalid record is corruption,
// because the file was synced before it was renamed to its final name.
func (s *Store) readSnapshot(index uint64) (log.Snapshot, error) {
	if index == 0 {
		return log.Snapshot{}, nil
	}
	name := fileName(snapshotPrefix, index)
	content, err := s.readFile(name)
	if err != nil {
		return log.Snapshot{}, errors.Wrapf(ErrCorrupt, "read %s: %v", name, err)
	}
	r, ok := readRecord(content, index, 0)
	var header wire.LogSnapshotHead
	if !ok || proto.Unmarshal(r.payload, &header) != nil || header.GetIndex() != index {
		return log.Snapshot{}, errors.Wrapf(ErrCorrupt, "%s has an invalid header", name)
	}
	snapshot := log.Snapshot{Index: index, Term: header.GetTerm(), Members: wire.DecodeLogMembers(header.GetMembers())}
	for uint64(len(snapshot.Data)) < header.GetLength() {
		offset := r.end
		if r, ok = readRecord(content, index, offset); !ok {
			return log.Snapshot{}, errors.Wrapf(ErrCorrupt, "%s has an invalid record at offset %d", name, offset)
		}
		var part wire.LogMessage
		if err := proto.Unmarshal(r.payload, &part); err != nil || len(part.GetData()) == 0 {
			return log.Snapshot{}, errors.Wrapf(ErrCorrupt, "%s has an invalid data record at offset %d", name, offset)
		}
		snapshot.Data = append(snapshot.Data, part.GetData()...)
	}
	return snapshot, nil
}

func (s *Store) readFile(name string) ([]byte, error) {
	f, err := s.fs.Open(s.path(name))
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return io.ReadAll(f)
}
