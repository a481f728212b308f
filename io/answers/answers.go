package answers

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/internal/tomlfile"
)

// ErrAnswers reports a questionnaire or a generated configuration that cannot
// be used. Its cause lists the faults.
var ErrAnswers = errors.New("answers are not valid")

// Answers is a filled-in questionnaire without faults.
type Answers struct {
	Team        string
	Application string
	DataCentres []DataCentre
	Customers   []Customer
	Work        []Work
	Pools       []Pool
	Models      []config.Model
	Windows     []Window
	Spending    Spending

	lines map[string]int // line of each answer
}

// DataCentre is a place where callers and targets stand.
type DataCentre struct {
	Name   fleet.DataCentre
	Region fleet.Region
}

// Customer is a tenant and the data centres its callers reach.
type Customer struct {
	config.Customer
	Callers []fleet.DataCentre // empty means all
}

// Repeat says which requests of a kind of work may run more than once.
type Repeat uint8

// Answers to "which requests are idempotent".
const (
	Never  Repeat = iota // each request runs at most once
	Reads                // GET and HEAD may be repeated
	Always               // all requests may be repeated
)

// Work is one kind of request, served under one path.
type Work struct {
	Name       string
	Path       string
	Protocol   config.Protocol
	Pool       string
	Class      fleet.Class
	Idempotent Repeat
	Open       bool
	Promise    time.Duration
	FirstToken time.Duration // 0 means no promise
}

// Pool is a group of equal targets.
type Pool struct {
	Name         string
	Kind         fleet.Kind
	Model        string // of engines
	Targets      map[fleet.DataCentre]int
	Least        int // targets that always run
	Most         int // targets that may run
	PricePerHour float64
}

// Total returns the number of targets over all data centres.
func (p Pool) Total() int {
	n := 0
	for _, targets := range p.Targets {
		n += targets
	}
	return n
}

// Window is a period with urgent work, repeated Times times at the interval
// Every.
type Window struct {
	config.Window
	Every time.Duration
	Times int
}

// Spending limits what targets may cost.
type Spending struct {
	HourlyCap  float64 // currency units; 0 means no cap
	StartDelay time.Duration
	RoleChange time.Duration
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
