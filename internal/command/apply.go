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

// pendingSuffix is added to the name of the answers file for the file that
// keeps a change whose answer has not arrived yet.
const pendingSuffix = ".change"

const pendingMode = 0o600 // of the file beside the answers

// Applied is the result of ApplyAnswers.
type Applied struct {
	Result
	Changes []answers.Change `json:"changes"`
}

// pending is a change that was sent, or is about to be.
type pending struct {
	ID     string `json:"id"`
	Base   uint64 `json:"base"`
	Digest string `json:"digest"` // SHA-256 of the answers
}

// ApplyAnswers shows what the answers at path change, has it confirmed where
// it must be, sends it and waits until it is in force. If the last run for the
// same answers did not learn what became of its change, that change is sent
// again.
func (s *Session) ApplyAnswers(ctx context.Context, c Change, path string, confirm bool) error {
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
	if old, ok := readPending(path); ok && p.continues(old) {
		_, _ = fmt.Fprintf(s.Err, "sending change %s again; %s%s keeps it\n", old.ID, path, pendingSuffix)
		return s.sendAnswers(ctx, path, text, old, []answers.Change{})
	}
	current, err := s.Client.Configuration(ctx)
	if err != nil {
		return errors.Wrap(err, "read the configuration in force")
	}
	before, faults := answers.ReadDocument([]byte(current.TOML))
	if len(faults) > 0 {
		return errors.Errorf("the configuration of revision %d cannot be read: %v", current.Revision, faults[0])
	}
	changes := answers.Diff(before, answers.Generate(a).Document)
	// With a base, an earlier run may have had the change accepted; control then
	// gives the same answer again.
	if len(changes) == 0 && c.Base == 0 {
		_, _ = fmt.Fprintf(s.Err, "revision %d has these answers already\n", current.Revision)
		return s.Out.Show(Applied{Result{Revision: current.Revision}, changes}, []string{"CHANGE", "REVISION"}, nil)
	}
	if err := s.confirm(changes, confirm); err != nil {
		return err
	}
	p.name(current.Revision)
	return s.sendAnswers(ctx, path, text, p, changes)
}

// continues says whether p is the kept change: the same answers, and neither
// id nor base set to another.
func (p pending) continues(old pending) bool {
	return old.Digest == p.Digest && (p.ID == "" || p.ID == old.ID) && (p.Base == 0 || p.Base == old.Base)
}

func (p *pending) name(revision uint64) {
	if p.ID == "" {
		p.ID = newID("answers-")
	}
	if p.Base == 0 {
		p.Base = revision
	}
}

// sendAnswers keeps the change beside the answers until it is known what became
// of it.
func (s *Session) sendAnswers(ctx context.Context, path string, text []byte, p pending, changes []answers.Change) error {
	if err := p.write(path); err != nil {
		return errors.Wrap(err, "nothing was sent")
	}
	a, err := s.Client.Change(ctx, operator.Change{ID: p.ID, Base: p.Base, Action: operator.ApplyAnswers, Answers: string(text)})
	if errors.Is(err, operator.ErrUncertain) || errors.Is(err, operator.ErrNotCommitted) {
		return errors.Wrapf(err, "run the command again; %s%s keeps change %s", path, pendingSuffix, p.ID)
	}
	if removed := os.Remove(path + pendingSuffix); removed != nil {
		_, _ = fmt.Fprintln(s.Err, "remove the kept change:", removed)
	}
	if err != nil {
		return err
	}
	r := Applied{Result{Change: p.ID, Base: p.Base, Revision: a.Revision}, changes}
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
		return errors.Wrap(err, "keep the change")
	}
	return errors.Wrap(os.WriteFile(path+pendingSuffix, text, pendingMode), "keep the change")
}

// confirm shows the differences and asks where one must be confirmed.
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
	return Unconfirmed(changes)
}

// showChanges writes the differences and counts those to be confirmed. The JSON
// result contains them, so they are written to it only if none follows.
func (s *Session) showChanges(changes []answers.Change, mayStop bool) (need int, err error) {
	need = unconfirmed(changes)
	switch {
	case !s.Out.JSON:
		return need, ShowChanges(s.Out, changes)
	case need == 0 || !mayStop:
		return need, nil
	case s.In != nil: // a result follows if the answer is yes
		return need, ShowChanges(Output{W: s.Err}, changes)
	}
	return need, ShowChanges(s.Out, changes)
}

func unconfirmed(changes []answers.Change) int {
	n := 0
	for _, ch := range changes {
		if ch.Confirm != "" {
			n++
		}
	}
	return n
}

// Unconfirmed returns an ErrConfirm if a change must be confirmed.
func Unconfirmed(changes []answers.Change) error {
	if n := unconfirmed(changes); n > 0 {
		return errors.Wrapf(ErrConfirm, "%d of %d changes", n, len(changes))
	}
	return nil
}

// ShowChanges writes the differences between two configurations.
func ShowChanges(o Output, changes []answers.Change) error {
	return table(o, changes, changes,
		column[answers.Change]{"SUBJECT", func(c answers.Change) any { return c.Subject }},
		column[answers.Change]{"FIELD", func(c answers.Change) any { return c.Field }},
		column[answers.Change]{"BEFORE", func(c answers.Change) any { return c.Before }},
		column[answers.Change]{"AFTER", func(c answers.Change) any { return c.After }},
		column[answers.Change]{"FOR", func(c answers.Change) any { return c.For }},
		column[answers.Change]{"MUST BE CONFIRMED", func(c answers.Change) any { return c.Confirm }})
}
