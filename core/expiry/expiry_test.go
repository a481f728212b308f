package expiry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"papayarock/core/expiry"
)

// Entries must not outlive their deadline, and no sequence of operations may
// exceed the bounds.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := expiry.Map[int, int]{MaxEntries: 5, MaxBytes: 20}
		type item struct {
			value   int
			expires time.Time
		}
		model := map[int]item{}
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "pass")) * time.Second)
			key := rapid.IntRange(0, 7).Draw(t, "key")
			value := rapid.Int().Draw(t, "value")
			bytes := int64(rapid.IntRange(0, 25).Draw(t, "bytes"))
			expires := now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "life")) * time.Second)
			operation := rapid.IntRange(0, 2).Draw(t, "operation")
			switch operation {
			case 0:
				_, present := m.Get(now, key)
				if m.Add(now, key, value, bytes, expires) {
					if present {
						t.Fatal("added a key that is present")
					}
					model[key] = item{value, expires}
				}
			case 1:
				if m.Put(now, key, value, bytes, expires) {
					model[key] = item{value, expires}
				} else {
					delete(model, key)
				}
			case 2:
				m.Delete(key)
				delete(model, key)
			}
			for k := range 8 {
				v, ok := m.Get(now, k)
				want, held := model[k]
				if !ok && held && now.Before(want.expires) {
					if operation != 1 {
						t.Fatalf("key %d is gone without an eviction", k)
					}
					delete(model, k)
				}
				if ok && (v != want.value || !now.Before(want.expires)) {
					t.Fatalf("key %d: got %d at %v, want %v", k, v, now, want)
				}
			}
			if m.Len() > 5 || m.Bytes() > 20 {
				t.Fatalf("%d entries, %d bytes", m.Len(), m.Bytes())
			}
		}
	})
}

// An eviction must take the entry that expires first.
func TestPutEvictsEarliestExpiry(t *testing.T) {
	is := is.New(t)
	m := expiry.Map[string, int]{MaxEntries: 2}
	now := time.Unix(0, 0)
	is.True(m.Put(now, "late", 1, 0, now.Add(time.Hour)))
	is.True(m.Put(now, "soon", 2, 0, now.Add(time.Minute)))
	is.True(!m.Add(now, "new", 3, 0, now.Add(time.Hour))) // full
	is.True(m.Put(now, "new", 3, 0, now.Add(time.Hour)))
	_, soon := m.Get(now, "soon")
	_, late := m.Get(now, "late")
	is.True(!soon)
	is.True(late)
}
