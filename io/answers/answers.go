package answers

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/internal/tomlfile"
)

// ErrAnswers is the cause of the errors of Load and LoadDocument: a file that cannot be
// read, or a questionnaire or generated configuration that is not valid. In the latter
// case, the error that wraps it lists the faults.
var ErrAnswers = errors.New("answers are not valid")

// Answers is the content of a valid questionnaire.
type Answers struct {
	Team        string
	Application string // display name; not part of the generated configuration
	DataCentres []DataCentre
	Customers   []Customer
	Workloads   []Workload
	Pools       []Pool
	Models      []config.Model
	Windows     []Window
	Spending    Spending

	lines map[string]int // line of each key in the questionnaire, by its path, for the comments of the generated TOML
}

// DataCentre is a data centre with callers or targets.
type DataCentre struct {
	Name   fleet.DataCentre
	Region fleet.Region
}

// Customer describes a customer and where it sends requests.
type Customer struct {
	config.Customer
	CallerDataCentres []fleet.DataCentre // data centres that its callers send requests to; empty means all
}

// Idempotency states which requests of a Workload may run more than once.
type Idempotency uint8

// Values of the key idempotent.
const (
	IdempotentNever  Idempotency = iota // each request runs at most once
	IdempotentReads                     // GET and HEAD requests may run more than once
	IdempotentAlways                    // all requests may run more than once
)

// Workload describes the requests below one path prefix. The generated configuration
// has a route for it.
type Workload struct {
	Name       string
	Path       string // path prefix
	Protocol   config.Protocol
	Pool       string
	Class      fleet.Class // priority class, from the key urgency
	Idempotent Idempotency
	Open       bool          // served without a key
	Promise    time.Duration // time limit for the complete response
	FirstToken time.Duration // time limit for the first token; 0 means none
}

// Pool is a group of identical targets.
type Pool struct {
	Name         string
	Kind         fleet.Kind
	Model        string // for engines only
	Targets      map[fleet.DataCentre]int
	MinTargets   int     // number of targets that always run
	MaxTargets   int     // maximum number of running targets
	PricePerHour float64 // currency units for one running target
}

// Total returns the number of targets in all data centres.
func (p Pool) Total() int {
	n := 0
	for _, targets := range p.Targets {
		n += targets
	}
	return n
}

// Window is a period with urgent work. It occurs Occurrences times, and Interval is
// the time between the starts of two occurrences.
type Window struct {
	config.Window
	Interval    time.Duration
	Occurrences int
}

// Spending limits the cost of targets, and states how long their starts and role changes
// take.
type Spending struct {
	HourlyCap       float64       // currency units; 0 means no cap
	StartDelay      time.Duration // from ordering a target until it is ready
	RoleChangeDelay time.Duration // time for which an engine is unavailable during a role change
}

// Load reads the questionnaire at path.
func Load(path string) (Answers, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Answers{}, errors.Wrap(ErrAnswers, err.Error())
	}
	a, faults := Check(text)
	if len(faults) > 0 {
		return Answers{}, &tomlfile.FileError{Kind: ErrAnswers, Path: path, Faults: faults}
	}
	return a, nil
}
