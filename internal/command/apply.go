package command

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"

	"papayarock/internal/tomlfile"
	"papayarock/io/answers"
	"papayarock/io/operator"
)

// pendingSuffix is added to the name of the answers file for the file that stores
// a change until its outcome is known.
const pendingSuffix = ".change"

const pendingMode = 0o600 // mode of the file of a pending change

// AppliedAnswers is the result of ApplyAnswers. If the answers are in force already,
// it contains only the current revision.
type AppliedAnswers struct {
	AcceptedChange
	Changes []answers.Change `json:"changes"`
}

// pending is a change whose outcome is not known yet: it was sent, or is about to
// be.
type pending struct {
	ID     string `json:"id"`
	Base   uint64 `json:"base"`
	Digest string `json:"digest"` // SHA-256 of the answers
}

// ApplyAnswers shows the differences between the answers at path and the
// configuration in force, asks for confirmation where it is required, submits the
// change and waits until it is in force. If an earlier run with the same answers
// did not learn the outcome of its change, that change is sent again.
func (s *Session) ApplyAnswers(ctx context.Context, c ChangeOptions, path string, confirm bool) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(answers.ErrAnswers, err.Error())
	}
	a, faults := answers.Check(text)
	if len(faults) > 0 {
		return &tomlfile.FileError{Kind: answers.ErrAnswers, Path: path, Faults: faults}
	}
	digest := sha256.Sum256(text)
	p := pending{ID: c.ID, Base: c.Base, Digest: hex.EncodeToString(digest[:])}
	if old, ok := readPending(path); ok && p.isRetryOf(old) {
		_, _ = fmt.Fprintf(s.Err, "sending change %s again; %s%s keeps it\n", old.ID, path, pendingSuffix)
		return s.sendAnswers(ctx, path, text, old, []answers.Change{})
	}
	current, err := s.Client.Configuration(ctx)
	if err != nil {
		return errors.Wrap(err, "read the configuration in force")
	}
	before, faults := answers.ParseDocument([]byte(current.TOML))
	if len(faults) > 0 {
		return errors.Errorf("parse configuration of revision %d: %v", current.Revision, faults[0])
	}
	changes := answers.Diff(before, answers.Generate(a).Document)
	// A change with a given base is sent even without differences: it may have been
	// accepted in an earlier run, and control then returns the same result again.
	if len(changes) == 0 && c.Base == 0 {
		_, _ = fmt.Fprintf(s.Err, "revision %d has these answers already\n", current.Revision)
		return s.Out.Show(AppliedAnswers{AcceptedChange{Revision: current.Revision}, changes}, []string{"CHANGE", "REVISION"}, nil)
	}
	if err := s.confirm(changes, confirm); err != nil {
		return err
	}
	p.setDefaults(current.Revision)
	return s.sendAnswers(ctx, path, text, p, changes)
}

// isRetryOf reports whether p is the stored change: it has the same answers, and
// its ID and base are either not set or the same.
func (p pending) isRetryOf(stored pending) bool {
	return stored.Digest == p.Digest && (p.ID == "" || p.ID == stored.ID) && (p.Base == 0 || p.Base == stored.Base)
}

// setDefaults generates an ID and sets the base to a revision where they are not set.
func (p *pending) setDefaults(revision uint64) {
	if p.ID == "" {
		p.ID = newID("answers-")
	}
	if p.Base == 0 {
		p.Base = revision
	}
}

// sendAnswers submits the change and waits until it is in force. The change is
// stored beside the answers until its outcome is known.
func (s *Session) sendAnswers(ctx context.Context, path string, text []byte, p pending, changes []answers.Change) error {
	if err := p.write(path); err != nil {
		return errors.Wrap(err, "change not sent")
	}
	a, err := s.Client.Change(ctx, operator.Change{ID: p.ID, Base: p.Base, Action: operator.ApplyAnswers, Answers: string(text)})
	if errors.Is(err, operator.ErrUncertain) || errors.Is(err, operator.ErrNotCommitted) {
		return errors.Wrapf(err, "run the command again; %s%s keeps change %s", path, pendingSuffix, p.ID)
	}
	if removeErr := os.Remove(path + pendingSuffix); removeErr != nil {
		_, _ = fmt.Fprintln(s.Err, "remove stored change:", removeErr)
	}
	if err != nil {
		return err
	}
	r := AppliedAnswers{AcceptedChange{Change: p.ID, Base: p.Base, Revision: a.Revision}, changes}
	if err := s.Out.Show(r, []string{"CHANGE", "REVISION"}, [][]string{{p.ID, fmt.Sprint(a.Revision)}}); err != nil {
		return err
	}
	return s.wait(ctx, a.Revision)
}

func readPending(path string) (pending, bool) {
	var p pending
	text, err := os.ReadFile(path + pendingSuffix)
	return p, err == nil && json.Unmarshal(text, &p) == nil
}

func (p pending) write(path string) error {
	text, err := json.Marshal(p)
	if err != nil {
		return errors.Wrap(err, "store change")
	}
	return errors.Wrap(os.WriteFile(path+pendingSuffix, text, pendingMode), "store change")
}

// confirm shows the differences and, unless they are confirmed beforehand, asks the
// operator for a confirmation if one of them requires it. It returns
// ErrConfirmationRequired if the operator does not confirm or there is no terminal.
func (s *Session) confirm(changes []answers.Change, confirmed bool) error {
	need, err := s.showChanges(changes, !confirmed)
	if err != nil || need == 0 || confirmed {
		return err
	}
	if s.In != nil {
		_, _ = fmt.Fprintf(s.Err, "%d of %d changes must be confirmed. Apply them? [y/N] ", need, len(changes))
		line, _ := bufio.NewReader(s.In).ReadString('\n')
		if line = strings.ToLower(strings.TrimSpace(line)); line == "y" || line == "yes" {
			return nil
		}
	}
	return CheckConfirmation(changes)
}

// showChanges writes the differences and returns how many of them require a
// confirmation; unconfirmed says that it has not been given. The JSON result of an
// accepted change contains the differences, so with JSON output they are written to
// standard output only if no such result follows.
func (s *Session) showChanges(changes []answers.Change, unconfirmed bool) (need int, err error) {
	need = countConfirmationRequired(changes)
	switch {
	case !s.Out.JSON:
		return need, ShowChanges(s.Out, changes)
	case need == 0 || !unconfirmed:
		return need, nil
	case s.In != nil: // a result follows if the operator confirms
		return need, ShowChanges(Output{W: s.Err}, changes)
	}
	return need, ShowChanges(s.Out, changes)
}

func countConfirmationRequired(changes []answers.Change) int {
	n := 0
	for _, ch := range changes {
		if ch.Confirm != "" {
			n++
		}
	}
	return n
}

// CheckConfirmation returns ErrConfirmationRequired if one of the changes requires a
// confirmation.
func CheckConfirmation(changes []answers.Change) error {
	if n := countConfirmationRequired(changes); n > 0 {
		return errors.Wrapf(ErrConfirmationRequired, "%d of %d changes", n, len(changes))
	}
	return nil
}

// ShowChanges writes the differences between two configurations.
func ShowChanges(o Output, changes []answers.Change) error {
	return showTable(o, changes, changes,
		column[answers.Change]{"SUBJECT", func(c answers.Change) any { return c.Subject }},
		column[answers.Change]{"FIELD", func(c answers.Change) any { return c.Field }},
		column[answers.Change]{"BEFORE", func(c answers.Change) any { return c.Before }},
		column[answers.Change]{"AFTER", func(c answers.Change) any { return c.After }},
		column[answers.Change]{"FOR", func(c answers.Change) any { return c.Affected }},
		column[answers.Change]{"MUST BE CONFIRMED", func(c answers.Change) any { return c.Confirm }})
}
