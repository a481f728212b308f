package log

import "slices"

// entries is the log in memory: a snapshot and the entries around and after it.
type entries struct {
	snapshot Snapshot
	base     uint64 // index before the first entry of list
	baseTerm uint64
	list     []Entry // never changed in place; actions share it
	stable   uint64  // last index known to be synced
	configs  []config
}

// config is the membership from the entry at index on.
type config struct {
	index   uint64
	members Membership
}

func newEntries(s Stored) entries {
	l := entries{snapshot: s.Snapshot, base: s.Snapshot.Index, baseTerm: s.Snapshot.Term}
	l.configs = []config{{s.Snapshot.Index, s.Snapshot.Members}}
	if len(s.Entries) > 0 && s.Entries[0].Index <= s.Snapshot.Index {
		// The term before the first entry is not stored, so entries below the
		// snapshot are of no use after a restart.
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

func (l *entries) last() uint64 { return l.base + uint64(len(l.list)) }

// term returns the term of the entry at index, which lies within [base, last].
func (l *entries) term(index uint64) uint64 {
	if index == l.base {
		return l.baseTerm
	}
	return l.list[index-l.base-1].Term
}

// slice returns the entries in [from, to).
func (l *entries) slice(from, to uint64) []Entry {
	return l.list[from-l.base-1 : to-l.base-1 : to-l.base-1]
}

func (l *entries) append(list ...Entry) {
	l.list = append(l.list, list...)
	for _, e := range list {
		if e.Kind == Members {
			l.configs = append(l.configs, config{e.Index, e.Members})
		}
	}
}

// truncate removes the entries from index on.
func (l *entries) truncate(index uint64) {
	l.list = slices.Clip(l.list[:index-l.base-1])
	l.stable = min(l.stable, index-1)
	for len(l.configs) > 1 && l.configs[len(l.configs)-1].index >= index {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

func (l *entries) members() Membership { return l.configs[len(l.configs)-1].members }

func (l *entries) membersAt(index uint64) Membership {
	i := len(l.configs) - 1
	for i > 0 && l.configs[i].index > index {
		i--
	}
	return l.configs[i].members
}

// compact replaces the snapshot and drops entries more than retain below it.
func (l *entries) compact(s Snapshot, retain uint64) {
	l.snapshot = s
	for len(l.configs) > 1 && l.configs[1].index <= s.Index {
		l.configs = l.configs[1:]
	}
	if s.Index-l.base <= retain {
		return
	}
	base := s.Index - retain
	l.baseTerm = l.term(base)
	l.list = slices.Clone(l.list[base-l.base:])
	l.base = base
}

// install replaces everything by s.
func (l *entries) install(s Snapshot) {
	*l = entries{snapshot: s, base: s.Index, baseTerm: s.Term, configs: []config{{s.Index, s.Members}}}
}

// firstOfTerm returns the lowest known index with the term of the entry at index.
func (l *entries) firstOfTerm(index uint64) uint64 {
	t := l.term(index)
	for index > l.base+1 && l.term(index-1) == t {
		index--
	}
	return index
}

// batch returns entries from index on that fit into one message.
func (l *entries) batch(index uint64) []Entry {
	end, size := index, 0
	for end <= l.last() && end-index < maxAppendEntries {
		size += l.list[end-l.base-1].size()
		if size > maxAppendBytes && end > index {
			break
		}
		end++
	}
	return l.slice(index, end)
}
