package hostile_test

import (
	"io"
	"net"
	"strings"
	"time"
)

const (
	// clientTimeout bounds how long a client waits for the process in a read or a write.
	clientTimeout = 10 * time.Second
	// endlessBytes is how much a client sends that never ends what it sends.
	endlessBytes = 4 << 20
	pieceBytes   = 16 << 10
	// trickleInterval is the time between two pieces of a head that trickles.
	trickleInterval = 10 * time.Millisecond
)

// behaviour is what one hostile client does with its connection. It returns when the client
// has sent all that it sends, or when the process has closed the connection.
type behaviour func(c net.Conn, p port)

// behaviours are those of the hostile clients. The connections stay open until all clients
// have returned.
var behaviours = map[string]struct {
	clients int
	run     behaviour
}{
	"held head of 60 KB":      {400, heldHead(60 << 10)},
	"held head of 15 KB":      {400, heldHead(15 << 10)},
	"head over the limit":     {200, headOverLimit},
	"head without end":        {100, headWithoutEnd},
	"empty lines without end": {100, emptyLines},
	"head that trickles":      {200, trickle},
	"pipelined requests":      {100, pipelined},
	"idle connections":        {600, idle},
}

func send(c net.Conn, text string) error {
	if err := c.SetDeadline(time.Now().Add(clientTimeout)); err != nil {
		return err
	}
	_, err := io.WriteString(c, text)
	return err
}

// openHead returns the start of the ordinary request of the port and of a long header line.
func openHead(p port) string { return strings.TrimSuffix(p.request(), "\r\n") + "Long: " }

func heldHead(bytes int) behaviour {
	return func(c net.Conn, p port) { _ = send(c, openHead(p)+strings.Repeat("x", bytes)) }
}

func headOverLimit(c net.Conn, p port) {
	if send(c, openHead(p)+strings.Repeat("x", 256<<10)+"\r\n\r\n") == nil {
		_, _ = io.Copy(io.Discard, c)
	}
}

func headWithoutEnd(c net.Conn, p port) {
	err := send(c, openHead(p))
	line := strings.Repeat("x", 1022) + "\r\nLong: "
	for n := 0; err == nil && n < endlessBytes; n += pieceBytes {
		err = send(c, strings.Repeat(line, pieceBytes/len(line)))
	}
}

func emptyLines(c net.Conn, _ port) {
	var err error
	for n := 0; err == nil && n < endlessBytes; n += pieceBytes {
		err = send(c, strings.Repeat("\r\n", pieceBytes/2))
	}
}

func trickle(c net.Conn, p port) {
	err := send(c, openHead(p))
	for n := 0; err == nil && n < 60<<10; n += 512 {
		err = send(c, strings.Repeat("x", 512))
		time.Sleep(trickleInterval)
	}
}

// pipelined sends requests without reading the responses.
func pipelined(c net.Conn, p port) {
	requests := strings.Repeat(p.request(), 50)
	for range 20 {
		if send(c, requests) != nil {
			return
		}
	}
}

// idle sends one ordinary request and keeps the connection.
func idle(c net.Conn, p port) {
	if send(c, p.request()) == nil {
		_, _ = c.Read(make([]byte, 1))
	}
}
