package config

import (
	"cmp"
	"slices"
	"time"

	"papayarock/core/fleet"
)

// MaxRevocations is the maximum number of hosts with revoked certificates, which
// core/state enforces. With it, the list fits into one message together with the
// document.
const MaxRevocations = 1024

// Revocation revokes the certificates of a host that were issued before a point in
// time. Certificates issued later are valid, so that a host whose private key was
// lost can be issued a new certificate.
type Revocation struct {
	Host         fleet.Host
	IssuedBefore time.Time
}

// IsRevoked reports whether a certificate that was issued to host at the given time
// is revoked.
func (x *Index) IsRevoked(host fleet.Host, issued time.Time) bool {
	i, ok := findRevocation(x.Revoked, host)
	return ok && issued.Before(x.Revoked[i].IssuedBefore)
}

func findRevocation(list []Revocation, host fleet.Host) (int, bool) {
	return slices.BinarySearchFunc(list, host, func(r Revocation, h fleet.Host) int { return cmp.Compare(r.Host, h) })
}

// mergeRevoked returns the revocations of a and b, sorted by host. For each host
// the one with the later IssuedBefore is kept.
func mergeRevoked(a, b []Revocation) []Revocation {
	if len(b) == 0 {
		return a
	}
	out := slices.Clone(a)
	for _, r := range b {
		i, ok := findRevocation(out, r.Host)
		switch {
		case !ok:
			out = slices.Insert(out, i, r)
		case r.IssuedBefore.After(out[i].IssuedBefore):
			out[i] = r
		}
	}
	return out
}
