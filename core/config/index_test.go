package config

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/fleet"
)

func newSnapshot(customers, targets int) Snapshot {
	s := Snapshot{Revision: 7}
	s.Document.Routes = []Route{{Name: "all", Prefix: "/", Pool: "p0"}, {Name: "api", Prefix: "/v1", Pool: "p1"}}
	for i := range customers {
		name := fleet.Customer(fmt.Sprintf("c%05d", i))
		s.Document.Customers = append(s.Document.Customers, Customer{Name: name, Weight: 1})
		for k := range 2 {
			id := fmt.Sprintf("%s-%d", name, k)
			s.Keys = append(s.Keys, Key{ID: id, Digest: sha256.Sum256([]byte("secret " + id)), Customer: name})
		}
	}
	for i := range targets {
		s.Targets = append(s.Targets, fleet.Target{Name: fleet.TargetName(fmt.Sprintf("t%04d", i)), Pool: fmt.Sprintf("p%d", i%5)})
	}
	return s
}

// Guards against Apply modifying the Index that requests in progress still read,
// and against Apply omitting part of the delta.
func TestApplyDoesNotModifyOldIndex(t *testing.T) {
	is := is.New(t)
	x := NewIndex(newSnapshot(8, 10))
	d := Delta{
		From: 7, To: 9,
		RemoveCustomers: []fleet.Customer{"c00001"}, PutCustomers: []Customer{{Name: "c00002", Weight: 5}},
		RemoveKeys: []string{"c00001-0"}, PutKeys: []Key{{ID: "c00002-0", Digest: sha256.Sum256([]byte("new")), Customer: "c00002"}},
		RemoveTargets: []fleet.TargetName{"t0000"}, PutTargets: []fleet.Target{{Name: "t0001", Pool: "p4"}},
		InterruptedKeys: []InterruptedKey{{ID: "c00001-0", Revision: 8}},
	}
	before := x.Snapshot()
	y, err := x.Apply(d)
	is.NoErr(err)
	is.Equal(x.Snapshot(), before)
	is.Equal(y.Revision, uint64(9))
	_, ok := y.KeyBySecret("secret c00001-0")
	is.True(!ok) // withdrawn
	_, ok = y.KeyBySecret("secret c00002-0")
	is.True(!ok) // replaced by a new key with the same ID
	k, ok := y.KeyBySecret("new")
	is.True(ok)
	is.Equal(k.Customer, fleet.Customer("c00002"))
	is.Equal(len(y.PoolTargets("p0")), 1)
	is.Equal(len(y.PoolTargets("p1")), 1)
	is.Equal(len(y.PoolTargets("p4")), 3)
	is.Equal(NewIndex(y.Snapshot()).Snapshot(), y.Snapshot())
}

// Guards against a node that returns to an older revision or applies a delta whose
// base it does not hold.
func TestApplyRevisions(t *testing.T) {
	is := is.New(t)
	x := NewIndex(newSnapshot(1, 0))
	unchanged, err := x.Apply(Delta{From: 3, To: 6, RemoveKeys: []string{"c00000-0"}})
	is.NoErr(err)
	is.Equal(unchanged, x)
	_, err = x.Apply(Delta{From: 8, To: 9})
	is.True(errors.Is(err, ErrGap))
}

// Guards against a merged delta that differs from its parts, for example by
// restoring a removed item.
func TestMergeEqualsSequentialApply(t *testing.T) {
	is := is.New(t)
	day := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	a := Delta{From: 7, To: 8, PutKeys: []Key{{ID: "k", Digest: Digest{1}}}, RemoveCustomers: []fleet.Customer{"c00000"}, Revoked: []Revocation{{"h2", day}, {"h1", day.Add(time.Hour)}}}
	b := Delta{From: 8, To: 9, RemoveKeys: []string{"k"}, PutCustomers: []Customer{{Name: "c00000", Weight: 3}}, Revoked: []Revocation{{"h1", day}}}
	c := Delta{From: 9, To: 10, PutKeys: []Key{{ID: "k", Digest: Digest{2}}}, PutTargets: []fleet.Target{{Name: "t", Pool: "p"}}}
	x := NewIndex(newSnapshot(3, 2))
	sequential := x
	for _, d := range []Delta{a, b, c} {
		next, err := sequential.Apply(d)
		is.NoErr(err)
		sequential = next
	}
	merged, err := x.Apply(Merge(a, b, c))
	is.NoErr(err)
	is.Equal(merged.Snapshot(), sequential.Snapshot())
	is.Equal(merged.Revoked, []Revocation{{"h1", day.Add(time.Hour)}, {"h2", day}}) // the later one is kept
	is.True(merged.IsRevoked("h1", day))
	is.True(!merged.IsRevoked("h1", day.Add(time.Hour)))
	is.True(!merged.IsRevoked("h3", day))
}

func BenchmarkApplyOneKey(b *testing.B) {
	for _, customers := range []int{8, 1000, 11000} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			x := NewIndex(newSnapshot(customers, 1100))
			d := Delta{From: 7, To: 8, PutKeys: []Key{{ID: "c00000-0", Digest: Digest{3}, Customer: "c00000"}}}
			b.ReportAllocs()
			for b.Loop() {
				_, _ = x.Apply(d)
			}
		})
	}
}

func BenchmarkApplyOneTarget(b *testing.B) {
	x := NewIndex(newSnapshot(11000, 1100))
	d := Delta{From: 7, To: 8, PutTargets: []fleet.Target{{Name: "t0000", Pool: "p0", Phase: fleet.Ready}}}
	b.ReportAllocs()
	for b.Loop() {
		_, _ = x.Apply(d)
	}
}

func BenchmarkNewIndex(b *testing.B) {
	s := newSnapshot(11000, 1100)
	for b.Loop() {
		NewIndex(s)
	}
}
