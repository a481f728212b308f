package command

import (
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"papayarock/io/answers"
	"papayarock/io/operator"
	"papayarock/io/settings"
)

// Errors of commands.
var (
	ErrInput      = errors.New("input is not valid")
	ErrConfirm    = errors.New("must be confirmed")
	ErrNotInForce = errors.New("accepted, but not known to be in force everywhere")
)

// Exit codes of the program.
const (
	ExitDone     = 0
	ExitFailure  = 1
	ExitFaulty   = 2 // a file or value has faults
	ExitConfirm  = 3 // a change must be confirmed
	ExitConflict = 4 // another change was accepted first
	ExitOpen     = 5 // not committed, or uncertain
)

// faultyStatus are the statuses by which control refuses faulty input.
var faultyStatus = []int{http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity}

// ExitCode returns the exit code for an error.
func ExitCode(err error) int {
	var p *operator.ProblemError
	switch {
	case err == nil:
		return ExitDone
	case errors.Is(err, ErrConfirm):
		return ExitConfirm
	case errors.Is(err, operator.ErrConflict):
		return ExitConflict
	case errors.Is(err, operator.ErrNotCommitted), errors.Is(err, operator.ErrUncertain):
		return ExitOpen
	case faulty(err):
		return ExitFaulty
	case errors.As(err, &p) && slices.Contains(faultyStatus, p.Problem.Status):
		return ExitFaulty
	}
	return ExitFailure
}

func faulty(err error) bool {
	for _, kind := range []error{ErrInput, settings.ErrSettings, answers.ErrAnswers, operator.ErrInvalid, operator.ErrOptions} {
		if errors.Is(err, kind) {
			return true
		}
	}
	return false
}
