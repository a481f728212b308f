// Command review plays the cases of this folder: it starts the project's programs as
// separate processes, with stand-ins for callers, targets and the platform, and checks one
// rule from what these see.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review CASE BINARY FOLDER")
		os.Exit(notRun)
	}
	cases := map[string]func(*record, string, string, bool) int{"leave": leaveCase, "memory": memoryCase, "wipe": wipeCase}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(notRun)
	}
	r, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	code := play(r, os.Args[2], dir, os.Getenv("TROUBLE") != "0")
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("kept", dir)
	}
	os.Exit(code)
}
