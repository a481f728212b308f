package gateway

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against lines longer than the read buffer that are taken for several lines: an
// event was split, or an id was read from the middle of a line.
func TestLongLines(t *testing.T) {
	for name, text := range map[string]string{
		"line ends with the buffer":  strings.Repeat("x", eventBufferBytes),
		"line ends after the buffer": strings.Repeat("x", eventBufferBytes+10),
		"id at the start of a piece": strings.Repeat("x", eventBufferBytes-len("data: ")) + "id: 9",
		"blank rest of a line":       strings.Repeat("x", eventBufferBytes-len("data: ")),
		"several buffers":            strings.Repeat("x", 5*eventBufferBytes),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			event := fmt.Sprintf("id: 1\ndata: %s\n\n", text)
			onlyData := fmt.Sprintf("data: %s\n\n", text)
			e := newEventReader(strings.NewReader(event+onlyData), &memoryShare{})
			got, err := e.next()
			is.NoErr(err)
			is.Equal(string(got), event)
			is.Equal(e.lastID, "1")
			got, err = e.next()
			is.NoErr(err)
			is.Equal(string(got), onlyData)
			is.Equal(e.lastID, "1")
			_, err = e.next()
			is.True(errors.Is(err, io.EOF))
		})
	}
}

// endless is a reader without an end.
type endless struct{ piece string }

func (r endless) Read(p []byte) (int, error) { return copy(p, r.piece), nil }

// Guards against an event without an end that uses up the memory of the gateway.
func TestEndlessEvent(t *testing.T) {
	for name, piece := range map[string]string{"line": "x", "lines": "data: x\n", "comments": ": x\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEventReader(endless{piece}, &memoryShare{})
			_, err := e.next()
			is.True(errors.Is(err, errEventTooLarge))
			is.True(cap(e.buf.data) <= maxEventBytes+eventBufferBytes)
		})
	}
}
