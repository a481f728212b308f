package answer_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"papayarock/core/answer"
	"papayarock/core/fleet"
)

// An answer must not pass as complete if frames were lost, repeated,
// overlapping or of another request.
func TestAssembly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "whole")
		var sum answer.Buffer
		sum.Max = 1 << 10
		sum.Append(whole)
		a := answer.NewAssembly(fleet.RequestID{1})
		other := fleet.RequestID{2}
		var got []byte
		lost := false
		for a.Length < uint64(len(whole)) {
			overlap := rapid.Uint64Range(0, a.Length).Draw(t, "back")
			offset := a.Length - overlap
			end := rapid.Uint64Range(offset, uint64(len(whole))).Draw(t, "end")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				if a.Matches(other[:]) {
					t.Fatal("accepted a frame of another request")
				}
				continue
			case 1:
				if a.Length+1 < uint64(len(whole)) {
					if _, err := a.Accept(a.Length+1, whole[a.Length+1:]); !errors.Is(err, answer.ErrGap) {
						t.Fatalf("gap: %v", err)
					}
				}
				continue
			case 2:
				lost = true
			}
			if lost {
				break
			}
			fresh, err := a.Accept(offset, whole[offset:end])
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, fresh...)
		}
		err := a.End(uint64(len(whole)), sum.Checksum())
		if complete := bytes.Equal(got, whole); complete != (err == nil) || a.Complete != complete {
			t.Fatalf("complete %v, end says %v", complete, err)
		}
	})
}

// An answer with a changed byte must not pass.
func TestChecksum(t *testing.T) {
	is := is.New(t)
	r := answer.Buffer{Max: 10}
	r.Append([]byte("stone"))
	a := answer.NewAssembly(fleet.RequestID{})
	_, err := a.Accept(0, []byte("stony"))
	is.NoErr(err)
	is.True(errors.Is(a.End(5, r.Checksum()), answer.ErrChecksum)) // changed byte
}

// The buffer must not exceed its bound or return bytes of another offset.
func TestBuffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := answer.Buffer{Max: 32}
		var whole []byte
		for range rapid.IntRange(0, 20).Draw(t, "parts") {
			p := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "part")
			whole = append(whole, p...)
			r.Append(p)
			offset := rapid.IntRange(0, len(whole)).Draw(t, "offset")
			tail, err := r.From(uint64(offset))
			if err == nil && !bytes.Equal(tail, whole[offset:]) {
				t.Fatalf("offset %d: %q, want %q", offset, tail, whole[offset:])
			}
			if len(whole) <= 32 && err != nil {
				t.Fatal(err)
			}
			if tail, err = r.From(uint64(len(whole))); err != nil || len(tail) != 0 {
				t.Fatal("end of answer is not buffered")
			}
		}
	})
}
