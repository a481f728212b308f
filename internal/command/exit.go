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
	// ErrInvalidInput reports a file, an argument or a flag with an invalid value.
	ErrInvalidInput = errors.New("invalid input")
	// ErrConfirmationRequired reports changes that the operator has not confirmed.
	ErrConfirmationRequired = errors.New("must be confirmed")
	// ErrNotInForce reports an accepted change that was not in force on all nodes at
	// the end of the wait, or whose progress could not be read.
	ErrNotInForce = errors.New("accepted, but not known to be in force everywhere")
)

// Exit codes of the program.
const (
	ExitDone                 = 0
	ExitFailure              = 1 // also a document with findings
	ExitInvalidInput         = 2 // a file or value has faults, or a document could not be checked
	ExitConfirmationRequired = 3 // a change must be confirmed
	ExitConflict             = 4 // another change was accepted first
	ExitNotCommitted         = 5 // not committed, or uncertain
)

// inputErrorStatuses are the statuses with which control refuses invalid input.
var inputErrorStatuses = []int{http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity}

// ExitCode returns the exit code for an error.
func ExitCode(err error) int {
	var p *operator.ProblemError
	switch {
	case err == nil:
		return ExitDone
	case errors.Is(err, ErrConfirmationRequired):
		return ExitConfirmationRequired
	case errors.Is(err, operator.ErrConflict):
		return ExitConflict
	case errors.Is(err, operator.ErrNotCommitted), errors.Is(err, operator.ErrUncertain):
		return ExitNotCommitted
	case isInputError(err):
		return ExitInvalidInput
	case errors.As(err, &p) && slices.Contains(inputErrorStatuses, p.Problem.Status):
		return ExitInvalidInput
	}
	return ExitFailure
}

func isInputError(err error) bool {
	for _, kind := range []error{ErrInvalidInput, ErrNotChecked, settings.ErrSettings, answers.ErrAnswers, operator.ErrInvalid, operator.ErrOptions} {
		if errors.Is(err, kind) {
			return true
		}
	}
	return false
}
