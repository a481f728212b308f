package operator

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors of a Client.
var (
	ErrOptions      = errors.New("client options are not valid")
	ErrUnavailable  = errors.New("no control replica answered")
	ErrNotCommitted = errors.New("the change was not committed")
	ErrUncertain    = errors.New("the change may or may not be committed")
	ErrConflict     = errors.New("the change conflicts with another")
	ErrInvalid      = errors.New("the change is not valid")
	ErrRefused      = errors.New("control refused the request")
)

// Types of Problem that a Client tells apart.
const (
	ProblemNotLeader    = "not-leader"
	ProblemNotCommitted = "not-committed"
	ProblemUncertain    = "uncertain"
	ProblemInvalid      = "invalid"
)

// ConflictError is an ErrConflict that names the change that won.
type ConflictError struct {
	ID     string // of the change that was not accepted
	Answer ChangeAnswer
}

// Error names the winner.
func (e *ConflictError) Error() string {
	w := e.Answer.Winner
	switch {
	case w == nil:
		return fmt.Sprintf("change %q conflicts with another change", e.ID)
	case e.Answer.Outcome == IDReused && w.Revision == 0:
		return fmt.Sprintf("change id %q was used for another change, which was not accepted", e.ID)
	case e.Answer.Outcome == IDReused:
		return fmt.Sprintf("change id %q was used by %q for another change, accepted as revision %d", e.ID, w.Operator, w.Revision)
	}
	return fmt.Sprintf("change %q lost to change %q of %q, accepted as revision %d", e.ID, w.ID, w.Operator, w.Revision)
}

// Is makes errors.Is(err, ErrConflict) hold.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// InvalidError is an ErrInvalid with the reason.
type InvalidError struct{ Reason string }

// Error gives the reason.
func (e *InvalidError) Error() string { return ErrInvalid.Error() + ": " + e.Reason }

// Is makes errors.Is(err, ErrInvalid) hold.
func (e *InvalidError) Is(target error) bool { return target == ErrInvalid }

// ProblemError is an ErrRefused with the answer of a replica.
type ProblemError struct {
	Address string
	Problem Problem
}

// Error names replica, type and reason.
func (e *ProblemError) Error() string {
	return fmt.Sprintf("%s refused with status %d (%s): %s", e.Address, e.Problem.Status, e.Problem.Type, e.Problem.Title)
}

// Is makes errors.Is(err, ErrRefused) hold.
func (e *ProblemError) Is(target error) bool { return target == ErrRefused }
