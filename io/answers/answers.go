package answers

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/internal/tomlfile"
)

// ErrAnswers reports a questionnaire or a generated configuration that is
// unreadable or invalid. The error that wraps it lists the faults.
var ErrAnswers = errors.New("answers are not valid")

// Answers is the content of a valid questionnaire.
type Answers struct {
	Team        string
	Application string
	DataCentres []DataCentre
	Customers   []Customer
	Workloads   []Workload
	Pools       []Pool
	Models      []config.Model
	Windows     []Window
	Spending    Spending

	lines map[string]int // line number of each answer by its key
}

// DataCentre is a data centre with callers or targets.
type DataCentre struct {
	Name   fleet.DataCentre
	Region fleet.Region
}

// Customer is a tenant and the data centres that its callers send requests to.
type Customer struct {
	config.Customer
	Callers []fleet.DataCentre // empty means all
}

// Idempotency states which requests of a Workload may run more than once.
type Idempotency uint8

// Values of the key idempotent.
const (
	IdempotentNever  Idempotency = iota // each request runs at most once
	IdempotentReads                     // GET and HEAD requests may run more than once
	IdempotentAlways                    // all requests may run more than once
)

// Workload is one kind of request, served under one path prefix.
type Workload struct {
	Name       string
	Path       string
	Protocol   config.Protocol
	Pool       string
	Class      fleet.Class
	Idempotent Idempotency
	Open       bool
	Promise    time.Duration
	FirstToken time.Duration // 0 means no promise
}

// Pool is a group of identical targets.
type Pool struct {
	Name         string
	Kind         fleet.Kind
	Model        string // for engines only
	Targets      map[fleet.DataCentre]int
	MinTargets   int // number of targets that always run
	MaxTargets   int // maximum number of running targets
	PricePerHour float64
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

// Spending limits the cost of targets and states their delays.
type Spending struct {
	HourlyCap       float64 // currency units; 0 means no cap
	StartDelay      time.Duration
	RoleChangeDelay time.Duration
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
