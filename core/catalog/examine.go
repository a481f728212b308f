package catalog

import (
	"net"
	"net/url"
	"strings"
	"unicode"
)

// Examine returns all faults of d, the entries that can never match, and the limits that
// contradict each other. Validate rejects a document with findings of the class Invalid.
func Examine(d Document) []Finding {
	f := faults(d)
	served := make(map[string]bool)
	for i, r := range d.Routes {
		f.examineMatch(i, r)
		f.examineTimes(i, r)
		for k, s := range r.Shares {
			if s.Weight == 0 {
				f.add(Unused, Place{SectionRoutes, i, FieldShareWeight, k}, "route %q: pool %q has the weight 0 and gets no requests", r.Name, s.Pool)
			}
			served[s.Pool] = served[s.Pool] || s.Weight > 0
		}
	}
	for i, p := range d.Pools {
		if !served[p.Name] {
			f.add(Unused, Place{SectionPools, i, "", 0}, "pool %q gets no requests: no route refers to it with a weight above 0", p.Name)
		}
		f.examinePool(i, p)
	}
	largest := largestEngine(d.Pools, served)
	for i, c := range d.Customers {
		f.examineKeys(i, c)
		f.examineLimit(i, c, largest)
	}
	f.examineLimits(d.Limits)
	return f
}

// ExamineSuccessor returns the findings in d as the document that follows inForce. The
// registry ignores a document whose version is not above that of the one in force.
func ExamineSuccessor(inForce, d Document) []Finding {
	var f findings
	if d.Version > inForce.Version || d.Version == inForce.Version && len(Compare(inForce, d)) == 0 {
		return nil
	}
	f.add(Conflict, Place{SectionDocument, 0, FieldVersion, 0}, "version %d is not above %d, which is in force; the registry ignores the document", d.Version, inForce.Version)
	return f
}

// examineMatch checks that a request can match the host and the prefix of r. Index.Route
// takes the host without its port, and compares prefixes with the escaped path.
func (f *findings) examineMatch(i int, r Route) {
	at := Place{SectionRoutes, i, FieldHost, 0}
	switch _, _, err := net.SplitHostPort(r.Host); {
	case r.Host == "":
		f.add(Unused, at, "route %q has no host; only requests without one match", r.Name)
	case err == nil:
		f.add(Unused, at, "route %q: host %q has a port; routes are matched without it", r.Name, r.Host)
	case strings.ContainsFunc(r.Host, func(c rune) bool { return unicode.IsSpace(c) || strings.ContainsRune("/?#@*", c) }):
		f.add(Unused, at, "route %q: %q is not the name of a host", r.Name, r.Host)
	}
	if u, err := url.ParseRequestURI(r.Prefix); strings.HasPrefix(r.Prefix, "/") && (err != nil || u.EscapedPath() != r.Prefix) {
		f.add(Unused, Place{SectionRoutes, i, FieldPrefix, 0}, "route %q: prefix %q contains characters that are escaped in the path of a request", r.Name, r.Prefix)
	}
}

func (f *findings) examineTimes(i int, r Route) {
	if r.Objective > r.Timeout {
		f.add(Conflict, Place{SectionRoutes, i, FieldObjective, 0}, "route %q: objective %v is above the timeout %v", r.Name, r.Objective, r.Timeout)
	}
	if r.MaxPause > r.Timeout {
		f.add(Conflict, Place{SectionRoutes, i, FieldMaxPause, 0}, "route %q: gap between events %v is above the timeout %v", r.Name, r.MaxPause, r.Timeout)
	}
	if r.Objective < 0 {
		f.add(Conflict, Place{SectionRoutes, i, FieldObjective, 0}, "route %q: objective %v is negative", r.Name, r.Objective)
	}
	if r.MaxPause < 0 {
		f.add(Conflict, Place{SectionRoutes, i, FieldMaxPause, 0}, "route %q: gap between events %v is negative", r.Name, r.MaxPause)
	}
}

func (f *findings) examinePool(i int, p Pool) {
	at := func(field Field) Place { return Place{SectionPools, i, field, 0} }
	if p.MaxConnections < 0 {
		f.add(Conflict, at(FieldMaxConnections), "pool %q: maximum of connections %d is negative", p.Name, p.MaxConnections)
	}
	e := p.Engine
	if e == nil {
		return
	}
	if e.Slots <= 0 {
		f.add(Conflict, at(FieldSlots), "pool %q: its engines have no slots", p.Name)
	}
	if e.CacheTokens <= 0 {
		f.add(Conflict, at(FieldCacheTokens), "pool %q: its engines have no capacity for tokens", p.Name)
	}
	if e.CacheTokens > 0 && e.EventTokens > e.CacheTokens {
		f.add(Conflict, at(FieldEventTokens), "pool %q: one event has up to %d tokens, more than the %d that an engine takes", p.Name, e.EventTokens, e.CacheTokens)
	}
	if n := p.MaxConnections; n > 0 && n < e.Slots {
		f.add(Conflict, at(FieldMaxConnections), "pool %q: maximum of connections %d is below the %d slots of an engine", p.Name, n, e.Slots)
	}
	for _, n := range []struct {
		field    Field
		negative bool
	}{
		{FieldBytesPerToken, e.BytesPerToken < 0}, {FieldLinkMbps, e.LinkMbps < 0},
		{FieldRetention, e.Retention < 0}, {FieldRoleChange, e.RoleChange < 0},
	} {
		if n.negative {
			f.add(Conflict, at(n.field), "pool %q: the value is negative", p.Name)
		}
	}
}

// largestEngine returns the pool that gets requests and whose engines take the largest
// requests. It returns nil if there is none.
func largestEngine(pools []Pool, served map[string]bool) *Pool {
	var largest *Pool
	for i, p := range pools {
		if p.Engine != nil && served[p.Name] && (largest == nil || p.Engine.CacheTokens > largest.Engine.CacheTokens) {
			largest = &pools[i]
		}
	}
	return largest
}

// examineKeys checks that a request can carry the keys of c. A key ends at white space in
// the header of a request.
func (f *findings) examineKeys(i int, c Customer) {
	if len(c.Keys) == 0 {
		f.add(Unused, Place{SectionCustomers, i, FieldKeys, 0}, "customer %q has no key; no request can be assigned to it", c.Name)
	}
	first := make(map[string]int, len(c.Keys))
	for k, key := range c.Keys {
		at := Place{SectionCustomers, i, FieldKey, k}
		if key == "" || key != strings.TrimSpace(key) || strings.ContainsFunc(key, unicode.IsControl) {
			f.add(Unused, at, "customer %q: a key is empty, or has white space at an end or control characters; no request can carry it", c.Name)
		}
		if j, ok := first[key]; ok {
			f.add(Unused, at, "customer %q: the key is the same as number %d", c.Name, j+1)
			continue
		}
		first[key] = k
	}
}

// examineLimit checks the limit of c. The largest request in tokens is one that fills the
// KV cache of an engine of the pool largest.
func (f *findings) examineLimit(i int, c Customer, largest *Pool) {
	at := func(field Field) Place { return Place{SectionCustomers, i, field, 0} }
	l := c.Limit
	switch {
	case l.Burst > 0 && l.Rate == 0:
		f.add(Conflict, at(FieldBurst), "customer %q has a burst without a rate, which is no limit", c.Name)
	case l.Rate > 0 && l.Burst == 0:
		f.add(Conflict, at(FieldRate), "customer %q has a rate without a burst, which is no limit", c.Name)
	}
	if !l.Tokens {
		if l.PlainTokens > 0 {
			f.add(Unused, at(FieldPlainTokens), "customer %q: tokens of a plain request have no effect on a limit in requests", c.Name)
		}
		if l.Limited() && l.Burst < 1 {
			f.add(Conflict, at(FieldBurst), "customer %q: burst %v is below 1, which each request counts", c.Name, l.Burst)
		}
		return
	}
	if !l.Limited() {
		return
	}
	if l.PlainTokens > l.Burst {
		f.add(Conflict, at(FieldPlainTokens), "customer %q: a plain request counts %v tokens, more than the burst %v", c.Name, l.PlainTokens, l.Burst)
	}
	if largest != nil && l.Burst < float64(largest.Engine.CacheTokens) {
		f.add(Conflict, at(FieldBurst), "customer %q: burst %v is below the largest request, the %d tokens that an engine of pool %q takes", c.Name, l.Burst, largest.Engine.CacheTokens, largest.Name)
	}
}

func (f *findings) examineLimits(l Limits) {
	for _, n := range []struct {
		field    Field
		negative bool
	}{
		{FieldHeaderBytes, l.HeaderBytes < 0}, {FieldBodyBytes, l.BodyBytes < 0},
		{FieldHeaderTimeout, l.HeaderTimeout < 0}, {FieldIdleTimeout, l.IdleTimeout < 0},
	} {
		if n.negative {
			f.add(Conflict, Place{SectionLimits, 0, n.field, 0}, "the value is negative")
		}
	}
}
