package wire

import (
	"github.com/pkg/errors"

	"papayarock/core/fleet"
	"papayarock/core/log"
)

// ErrInvalidLogMessage is returned for a log message or record that cannot be
// decoded.
var ErrInvalidLogMessage = errors.New("invalid log message")

// EncodeLogMessage converts m to its protobuf message, which shares the commands of
// the entries and the snapshot data with m.
func EncodeLogMessage(m log.Message) *LogMessage {
	return &LogMessage{
		Kind: LogMessage_Kind(m.Kind), From: string(m.From), To: string(m.To),
		FromIdentity: uint64(m.FromIdentity), ToIdentity: uint64(m.ToIdentity),
		Term: m.Term, Index: m.Index, LogTerm: m.LogTerm, Reject: m.Reject, Hint: m.Hint,
		Commit: m.Commit, Sequence: m.Sequence, Entries: EncodeLogEntries(m.Entries),
		Members: EncodeLogMembers(m.Members), Offset: m.Offset, Total: m.Total, Data: m.Data,
	}
}

// DecodeLogMessage converts a protobuf message to a log message. It returns an error
// for an unknown kind, and if the entries do not have the consecutive indexes that
// follow the index of the message.
func DecodeLogMessage(m *LogMessage) (log.Message, error) {
	kind := m.GetKind()
	if kind < LogMessage_PRE_VOTE || kind > LogMessage_STAND {
		return log.Message{}, errors.Wrapf(ErrInvalidLogMessage, "unknown kind %d from %q", kind, m.GetFrom())
	}
	entries, err := DecodeLogEntries(m.GetEntries())
	if err != nil {
		return log.Message{}, err
	}
	if len(entries) > 0 && entries[0].Index != m.GetIndex()+1 {
		return log.Message{}, errors.Wrapf(ErrInvalidLogMessage, "entry %d follows entry %d", entries[0].Index, m.GetIndex())
	}
	return log.Message{
		Kind: log.MessageKind(kind), From: fleet.Host(m.GetFrom()), To: fleet.Host(m.GetTo()),
		FromIdentity: log.DirectoryID(m.GetFromIdentity()), ToIdentity: log.DirectoryID(m.GetToIdentity()),
		Term: m.GetTerm(), Index: m.GetIndex(), LogTerm: m.GetLogTerm(), Reject: m.GetReject(), Hint: m.GetHint(),
		Commit: m.GetCommit(), Sequence: m.GetSequence(), Entries: entries,
		Members: DecodeLogMembers(m.GetMembers()), Offset: m.GetOffset(), Total: m.GetTotal(), Data: m.GetData(),
	}, nil
}

// EncodeLogEntries converts entries to their messages.
func EncodeLogEntries(list []log.Entry) []*LogEntry {
	out := make([]*LogEntry, 0, len(list))
	for _, e := range list {
		out = append(out, &LogEntry{
			Index: e.Index, Term: e.Term, Kind: LogEntry_Kind(e.Kind), Command: e.Command,
			Members: EncodeLogMembers(e.Members),
		})
	}
	return out
}

// DecodeLogEntries converts messages to entries. It returns an error for an unknown
// kind and for indexes that are not consecutive.
func DecodeLogEntries(list []*LogEntry) ([]log.Entry, error) {
	var out []log.Entry
	for i, e := range list {
		if e.GetKind() > LogEntry_MEMBERS || e.GetKind() < 0 {
			return nil, errors.Wrapf(ErrInvalidLogMessage, "entry %d has unknown kind %d", e.GetIndex(), e.GetKind())
		}
		if i > 0 && e.GetIndex() != out[i-1].Index+1 {
			return nil, errors.Wrapf(ErrInvalidLogMessage, "entry %d follows entry %d", e.GetIndex(), out[i-1].Index)
		}
		out = append(out, log.Entry{
			Index: e.GetIndex(), Term: e.GetTerm(), Kind: log.EntryKind(e.GetKind()), Command: e.GetCommand(),
			Members: DecodeLogMembers(e.GetMembers()),
		})
	}
	return out, nil
}

// EncodeLogMembers converts a membership to its messages.
func EncodeLogMembers(m log.Membership) []*LogMember {
	out := make([]*LogMember, 0, len(m))
	for _, x := range m {
		out = append(out, &LogMember{Host: string(x.Host), Identity: uint64(x.Identity), Learner: x.Learner})
	}
	return out
}

// DecodeLogMembers converts messages to a membership.
func DecodeLogMembers(list []*LogMember) log.Membership {
	var out log.Membership
	for _, x := range list {
		out = append(out, log.Member{Host: fleet.Host(x.GetHost()), Identity: log.DirectoryID(x.GetIdentity()), Learner: x.GetLearner()})
	}
	return out
}
