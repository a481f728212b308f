package catalog

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Change is what has become of an entry or a value.
type Change uint8

// Changes.
const (
	Added Change = iota
	Removed
	Changed
)

// String returns the name of the change.
func (c Change) String() string { return [...]string{"added", "removed", "changed"}[c] }

// Difference is a difference between two documents. It contains no API key.
type Difference struct {
	Change        Change
	Section       Section
	Entry         string // name of the entry; empty in SectionDocument and SectionLimits
	Field         Field  // empty if the entry was added or removed
	Before, After string // empty if the entry was added or removed
}

// Compare returns the differences between two documents, in the order of the sections and
// of the entries of after. The order of entries is no difference, since it has no effect.
func Compare(before, after Document) []Difference {
	out := compareEntry(SectionDocument, "", before, after, documentValues)
	out = append(out, compareSection(SectionRoutes, before.Routes, after.Routes, routeNames(before.Routes, after.Routes), routeValues)...)
	out = append(out, compareSection(SectionPools, before.Pools, after.Pools, func(p Pool) string { return p.Name }, poolValues)...)
	out = append(out, compareSection(SectionCustomers, before.Customers, after.Customers, func(c Customer) string { return string(c.Name) }, customerValues)...)
	return append(out, compareEntry(SectionLimits, "", before.Limits, after.Limits, limitValues)...)
}

// value is a value of an entry of type T as text.
type value[T any] struct {
	field Field
	text  func(T) string
	// summary returns what a difference contains in place of the texts, if they are secret.
	summary func(before, after T) (string, string)
}

func show[T, V any](f Field, get func(T) V) value[T] {
	return value[T]{field: f, text: func(e T) string { return fmt.Sprint(get(e)) }}
}

func quote[T any](f Field, get func(T) string) value[T] {
	return value[T]{field: f, text: func(e T) string { return strconv.Quote(get(e)) }}
}

var documentValues = []value[Document]{show(FieldVersion, func(d Document) uint64 { return d.Version })}

var routeValues = []value[Route]{
	quote(FieldName, func(r Route) string { return r.Name }),
	quote(FieldHost, func(r Route) string { return r.Host }),
	quote(FieldPrefix, func(r Route) string { return r.Prefix }),
	show(FieldKind, func(r Route) Kind { return r.Kind }),
	show(FieldTimeout, func(r Route) any { return r.Timeout }),
	show(FieldObjective, func(r Route) any { return r.Objective }),
	show(FieldMaxPause, func(r Route) any { return r.MaxPause }),
	show(FieldRank, func(r Route) int { return r.Rank }),
	show(FieldShares, func(r Route) string { return shareList(r.Shares) }),
	show(FieldAttempts, func(r Route) int { return r.Attempts }),
	show(FieldOpen, func(r Route) bool { return r.Open }),
	show(FieldAffinity, func(r Route) bool { return r.Affinity }),
	show(FieldResumable, func(r Route) bool { return r.Resumable }),
}

var poolValues = append([]value[Pool]{
	quote(FieldHealthPath, func(p Pool) string { return p.HealthPath }),
	show(FieldMaxConnections, func(p Pool) int { return p.MaxConnections }),
	show(FieldEngine, func(p Pool) bool { return p.Engine != nil }),
},
	engineValue(FieldSlots, func(e Engine) any { return e.Slots }),
	engineValue(FieldEventTokens, func(e Engine) any { return e.EventTokens }),
	engineValue(FieldCacheTokens, func(e Engine) any { return e.CacheTokens }),
	engineValue(FieldBytesPerToken, func(e Engine) any { return e.BytesPerToken }),
	engineValue(FieldLinkMbps, func(e Engine) any { return e.LinkMbps }),
	engineValue(FieldRetention, func(e Engine) any { return e.Retention }),
	engineValue(FieldRoleChange, func(e Engine) any { return e.RoleChange }),
)

func engineValue(f Field, get func(Engine) any) value[Pool] {
	return value[Pool]{field: f, text: func(p Pool) string {
		if p.Engine == nil {
			return "none"
		}
		return fmt.Sprint(get(*p.Engine))
	}}
}

var customerValues = []value[Customer]{
	{FieldKeys, func(c Customer) string { return fmt.Sprintf("%q", sortedKeys(c)) }, summarizeKeys},
	show(FieldRank, func(c Customer) string {
		if !c.HasRank {
			return "none"
		}
		return strconv.Itoa(c.Rank)
	}),
	show(FieldRate, func(c Customer) float64 { return c.Limit.Rate }),
	show(FieldBurst, func(c Customer) float64 { return c.Limit.Burst }),
	show(FieldUnit, func(c Customer) string {
		if c.Limit.Tokens {
			return "tokens"
		}
		return "requests"
	}),
	show(FieldPlainTokens, func(c Customer) float64 { return c.Limit.PlainTokens }),
}

var limitValues = []value[Limits]{
	show(FieldHeaderBytes, func(l Limits) int { return l.HeaderBytes }),
	show(FieldBodyBytes, func(l Limits) int { return l.BodyBytes }),
	show(FieldHeaderTimeout, func(l Limits) any { return l.HeaderTimeout }),
	show(FieldIdleTimeout, func(l Limits) any { return l.IdleTimeout }),
}

func shareList(shares []Share) string {
	parts := make([]string, len(shares))
	for i, s := range shares {
		parts[i] = fmt.Sprintf("%q %d", s.Pool, s.Weight)
	}
	return strings.Join(parts, ", ")
}

func sortedKeys(c Customer) []string { return slices.Compact(slices.Sorted(slices.Values(c.Keys))) }

func summarizeKeys(before, after Customer) (string, string) {
	old, current := sortedKeys(before), sortedKeys(after)
	kept := 0
	for _, k := range old {
		if _, ok := slices.BinarySearch(current, k); ok {
			kept++
		}
	}
	return fmt.Sprintf("keys: %d", len(old)), fmt.Sprintf("keys: %d (%d added, %d removed)", len(current), len(current)-kept, len(old)-kept)
}

// routeNames returns the function that identifies routes in both lists: by their names, or by
// host and prefix if the names are not unique, which Validate allows.
func routeNames(before, after []Route) func(Route) string {
	for _, list := range [][]Route{before, after} {
		seen := make(map[string]bool, len(list))
		for _, r := range list {
			if r.Name == "" || seen[r.Name] {
				return func(r Route) string { return r.Host + r.Prefix }
			}
			seen[r.Name] = true
		}
	}
	return func(r Route) string { return r.Name }
}

// compareSection compares the entries of a section. The names must be unique in each list.
func compareSection[T any](s Section, before, after []T, name func(T) string, values []value[T]) []Difference {
	var out []Difference
	old := make(map[string]T, len(before))
	for _, e := range before {
		old[name(e)] = e
	}
	present := make(map[string]bool, len(after))
	for _, e := range after {
		n := name(e)
		present[n] = true
		if was, ok := old[n]; ok {
			out = append(out, compareEntry(s, n, was, e, values)...)
		} else {
			out = append(out, Difference{Change: Added, Section: s, Entry: n})
		}
	}
	for _, e := range before {
		if n := name(e); !present[n] {
			out = append(out, Difference{Change: Removed, Section: s, Entry: n})
		}
	}
	return out
}

func compareEntry[T any](s Section, entry string, before, after T, values []value[T]) []Difference {
	var out []Difference
	for _, v := range values {
		old, current := v.text(before), v.text(after)
		if old == current {
			continue
		}
		if v.summary != nil {
			old, current = v.summary(before, after)
		}
		out = append(out, Difference{Changed, s, entry, v.field, old, current})
	}
	return out
}
