package log

import "slices"

// memoryLog is the in-memory log: the latest snapshot, the entries retained up to
// its index, and the entries after it.
type memoryLog struct {
	snapshot Snapshot
	base     uint64 // index of the entry before entries[0]
	baseTerm uint64
	entries  []Entry  // elements are never overwritten, since actions hold slices of it
	stable   uint64   // last index known to be synced
	configs  []config // from the membership of the snapshot on, sorted by index
}

// config is a membership that takes effect with the entry at index.
type config struct {
	index   uint64
	members Membership
}

func newMemoryLog(s Stored) memoryLog {
	l := memoryLog{snapshot: s.Snapshot, base: s.Snapshot.Index, baseTerm: s.Snapshot.Term}
	l.configs = []config{{s.Snapshot.Index, s.Snapshot.Members}}
	if len(s.Entries) > 0 && s.Entries[0].Index <= s.Snapshot.Index {
		// The term of the entry before the first one is not stored, so entries
		// up to the snapshot's index cannot be used after a restart.
		i, _ := slices.BinarySearchFunc(s.Entries, s.Snapshot.Index+1, byIndex)
		s.Entries = s.Entries[i:]
	}
	l.append(slices.Clone(s.Entries)...)
	l.stable = l.last()
	return l
}

func byIndex(e Entry, index uint64) int {
	switch {
	case e.Index < index:
		return -1
	case e.Index > index:
		return 1
	}
	return 0
}

func (l *memoryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

// term returns the term of the entry at index, which must be within [base, last].
func (l *memoryLog) term(index uint64) uint64 {
	if index == l.base {
		return l.baseTerm
	}
	return l.entries[index-l.base-1].Term
}

// slice returns the entries in [from, to).
func (l *memoryLog) slice(from, to uint64) []Entry {
	return l.entries[from-l.base-1 : to-l.base-1 : to-l.base-1]
}

func (l *memoryLog) append(list ...Entry) {
	l.entries = append(l.entries, list...)
	for _, e := range list {
		if e.Kind == Members {
			l.configs = append(l.configs, config{e.Index, e.Members})
		}
	}
}

// truncate removes the entry at index and all after it.
func (l *memoryLog) truncate(index uint64) {
	l.entries = slices.Clip(l.entries[:index-l.base-1])
	l.stable = min(l.stable, index-1)
	for len(l.configs) > 1 && l.configs[len(l.configs)-1].index >= index {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

func (l *memoryLog) members() Membership { return l.configs[len(l.configs)-1].members }

func (l *memoryLog) membersAt(index uint64) Membership {
	i := len(l.configs) - 1
	for i > 0 && l.configs[i].index > index {
		i--
	}
	return l.configs[i].members
}

// compact replaces the snapshot. Of the entries up to its index it keeps the last
// ones, at most retain entries and retainBytes bytes.
func (l *memoryLog) compact(s Snapshot, retain uint64, retainBytes int) {
	l.snapshot = s
	for len(l.configs) > 1 && l.configs[1].index <= s.Index {
		l.configs = l.configs[1:]
	}
	base, size := s.Index, 0
	for base > l.base && s.Index-base < retain {
		size += l.entries[base-l.base-1].Size()
		if size > retainBytes {
			break
		}
		base--
	}
	if base == l.base {
		return
	}
	l.baseTerm = l.term(base)
	l.entries = slices.Clone(l.entries[base-l.base:])
	l.base = base
}

// install replaces the whole log with s.
func (l *memoryLog) install(s Snapshot) {
	*l = memoryLog{snapshot: s, base: s.Index, baseTerm: s.Term, configs: []config{{s.Index, s.Members}}}
}

// firstOfTerm returns the lowest index in memory whose entry has the same term as
// the entry at index.
func (l *memoryLog) firstOfTerm(index uint64) uint64 {
	t := l.term(index)
	for index > l.base+1 && l.term(index-1) == t {
		index--
	}
	return index
}

// batch returns the entries from index on that fit into one append, at least one.
func (l *memoryLog) batch(index uint64) []Entry {
	end, size := index, 0
	for end <= l.last() && end-index < maxAppendEntries {
		size += l.entries[end-l.base-1].Size()
		if size > maxAppendBytes && end > index {
			break
		}
		end++
	}
	return l.slice(index, end)
}
