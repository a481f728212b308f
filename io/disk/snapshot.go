package disk

import (
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"papayarock/core/log"
	"papayarock/io/wire"
)

// writeSnapshot writes a snapshot file: a head and parts, all synced before the
// file gets its name.
func (s *Store) writeSnapshot(snapshot log.Snapshot) error {
	f, err := s.publish(numbered(snapshotPrefix, snapshot.Index), func(f File) error {
		head := &wire.LogSnapshotHead{
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
		if err := write(head); err != nil {
			return err
		}
		for data := snapshot.Data; len(data) > 0; {
			n := min(len(data), splitBytes)
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

// readSnapshot reads the snapshot at index. Any bad record is damage, because
// the file got its name only after it was synced.
func (s *Store) readSnapshot(index uint64) (log.Snapshot, error) {
	if index == 0 {
		return log.Snapshot{}, nil
	}
	name := numbered(snapshotPrefix, index)
	content, err := s.readFile(name)
	if err != nil {
		return log.Snapshot{}, errors.Wrapf(ErrDamaged, "read %s: %v", name, err)
	}
	r, ok := readRecord(content, index, 0)
	var head wire.LogSnapshotHead
	if !ok || proto.Unmarshal(r.payload, &head) != nil || head.GetIndex() != index {
		return log.Snapshot{}, errors.Wrapf(ErrDamaged, "%s has a bad head", name)
	}
	out := log.Snapshot{Index: index, Term: head.GetTerm(), Members: wire.DecodeLogMembers(head.GetMembers())}
	for uint64(len(out.Data)) < head.GetLength() {
		offset := r.end
		if r, ok = readRecord(content, index, offset); !ok {
			return log.Snapshot{}, errors.Wrapf(ErrDamaged, "%s has a bad record at offset %d", name, offset)
		}
		var part wire.LogMessage
		if err := proto.Unmarshal(r.payload, &part); err != nil || len(part.GetData()) == 0 {
			return log.Snapshot{}, errors.Wrapf(ErrDamaged, "%s has a bad part at offset %d", name, offset)
		}
		out.Data = append(out.Data, part.GetData()...)
	}
	return out, nil
}

func (s *Store) readFile(name string) ([]byte, error) {
	f, err := s.fs.Open(s.path(name))
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return io.ReadAll(f)
}
