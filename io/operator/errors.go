package operator

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors that a Client returns. ErrUnavailable is only returned for reads,
// ErrNotCommitted and ErrUncertain only for changes.
var (
	ErrOptions      = errors.New("invalid client options")
	ErrUnavailable  = errors.New("no control replica answered")
	ErrNotCommitted = errors.New("the change was not committed")
	ErrUncertain    = errors.New("the change may or may not be committed")
	ErrConflict     = errors.New("the change conflicts with another change")
	ErrInvalid      = errors.New("the change is not valid")
	ErrRefused      = errors.New("a control replica refused the request")
)

// Values of Problem.Type that a Client distinguishes.
const (
	ProblemNotLeader    = "not-leader"
	ProblemNotCommitted = "not-committed"
	ProblemUncertain    = "uncertain"
	ProblemInvalid      = "invalid"
)

// ConflictError is an ErrConflict with the accepted change that caused it.
type ConflictError struct {
	ID     string // of the rejected change
	Result ChangeResult
}

// Error names both changes.
func (e *ConflictError) Error() string {
	w := e.Result.Winner
	switch {
	case w == nil:
		return fmt.Sprintf("change %q conflicts with another change", e.ID)
	case e.Result.Outcome == IDReused && w.Revision == 0:
		return fmt.Sprintf("change id %q was used for another change, which was not accepted", e.ID)
	case e.Result.Outcome == IDReused:
		return fmt.Sprintf("change id %q was used by %q for another change, accepted as revision %d", e.ID, w.Operator, w.Revision)
	}
	return fmt.Sprintf("change %q conflicts with change %q of %q, accepted as revision %d", e.ID, w.ID, w.Operator, w.Revision)
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// InvalidError is an ErrInvalid with the reason that a control replica returned.
type InvalidError struct{ Reason string }

// Error includes the reason.
func (e *InvalidError) Error() string { return ErrInvalid.Error() + ": " + e.Reason }

// Is reports whether target is ErrInvalid.
func (e *InvalidError) Is(target error) bool { return target == ErrInvalid }

// ProblemError is an ErrRefused with the Problem that a replica returned.
type ProblemError struct {
	Address string
	Problem Problem
}

// Error names the replica and the status, type and title of the problem.
func (e *ProblemError) Error() string {
	return fmt.Sprintf("control replica %s refused the request with status %d (%s): %s", e.Address, e.Problem.Status, e.Problem.Type, e.Problem.Title)
}

// Is reports whether target is ErrRefused.
func (e *ProblemError) Is(target error) bool { return target == ErrRefused }
