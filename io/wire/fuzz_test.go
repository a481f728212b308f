package wire

import (
	"bytes"
	"testing"

	"papayarock/core/config"
	"papayarock/core/state"
)

// Guards against damaged or malicious bytes of a command that make a replica panic when
// it applies the command once or again, and against a command that changes when it is
// encoded again.
func FuzzDecodeCommand(f *testing.F) {
	for _, c := range sampleCommands() {
		b, err := EncodeCommand(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := DecodeCommand(b)
		if err != nil {
			return
		}
		checkReencoding(t, c, EncodeCommand, DecodeCommand)
		m := state.New()
		m.Apply(1, c)
		m.Apply(2, c)
		if _, err := EncodeStateSnapshot(m.Snapshot()); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against damaged or malicious bytes of a state snapshot that make a replica
// panic when it restores and uses the state, and against a snapshot that changes when
// it is encoded again. The name must match the corpus in testdata/fuzz.
func FuzzDecodeStateSnapshot(f *testing.F) {
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := DecodeStateSnapshot(b)
		if err != nil {
			return
		}
		checkReencoding(t, s, EncodeStateSnapshot, DecodeStateSnapshot)
		m := state.New()
		m.Restore(s)
		m.Apply(1, state.Tick{Now: testTime})
		m.Snapshot()
		m.Dump()
	})
}

// Guards against damaged or malicious bytes of a configuration delta that make a node
// panic, and against a delta that changes when it is encoded again.
func FuzzDecodeDelta(f *testing.F) {
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := DecodeDelta(b)
		if err != nil {
			return
		}
		checkReencoding(t, d, EncodeDelta, DecodeDelta)
		_, _ = config.NewIndex(config.Snapshot{}).Apply(d)
	})
}

// checkReencoding checks that encoding v and encoding the decoded result give the same
// bytes.
func checkReencoding[T any](t *testing.T, v T, encode func(T) ([]byte, error), decode func([]byte) (T, error)) {
	t.Helper()
	b, err := encode(v)
	if err != nil {
		t.Fatal(err)
	}
	w, err := decode(b)
	if err != nil {
		t.Fatal(err)
	}
	again, err := encode(w)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(b, again) {
		t.Fatalf("encoded as %x, then as %x", b, again)
	}
}
