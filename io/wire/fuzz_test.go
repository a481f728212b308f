package wire

import (
	"bytes"
	"testing"

	"papayarock/core/config"
	"papayarock/core/state"
)

// The fuzz targets guard against damaged or malicious bytes that make a replica or a
// node panic, and against values that change when they are encoded again.

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

func FuzzDecodeImage(f *testing.F) {
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		i, err := DecodeStateSnapshot(b)
		if err != nil {
			return
		}
		checkReencoding(t, i, EncodeStateSnapshot, DecodeStateSnapshot)
		m := state.New()
		m.Restore(i)
		m.Apply(1, state.Tick{Now: testTime})
		m.Snapshot()
		m.Dump()
	})
}

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

// checkReencoding checks that a value is encoded as the same bytes after it has been
// encoded and decoded once.
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
