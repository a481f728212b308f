package operator

import "time"

// Actions of a Change.
const (
	ApplyAnswers  = "apply-answers"
	IssueKey      = "issue-key"
	WithdrawKey   = "withdraw-key"
	RevokeHost    = "revoke-host"
	DrainTarget   = "drain-target"
	ReplaceTarget = "replace-target"
	SetRole       = "set-role"
	CancelDrain   = "cancel-drain"
)

// Change is a change that an operator requests. The fields after Action are arguments
// of the actions that their comments name; others ignore them.
type Change struct {
	ID         string `json:"id"`
	Base       uint64 `json:"base"` // revision that the change is based on
	Action     string `json:"action"`
	Answers    string `json:"answers,omitempty"`     // apply-answers: completed questionnaire in TOML
	Key        string `json:"key,omitempty"`         // issue-key, withdraw-key: public identifier of the key
	Digest     string `json:"digest,omitempty"`      // issue-key: SHA-256 of the key's secret, hexadecimal
	Customer   string `json:"customer,omitempty"`    // issue-key
	Cut        bool   `json:"cut,omitempty"`         // withdraw-key: interrupt running requests of the key
	Target     string `json:"target,omitempty"`      // drain-target, replace-target, set-role, cancel-drain
	Host       string `json:"host,omitempty"`        // revoke-host: host whose certificates are revoked
	Role       string `json:"role,omitempty"`        // set-role: mixed, prefill, decode
	Leave      bool   `json:"leave,omitempty"`       // drain-target: remove the target after the drain
	ForSeconds int    `json:"for-seconds,omitempty"` // drain-target, replace-target, set-role: time limit of the drain
}

// Revocation revokes the certificates of a host that were issued before a time.
type Revocation struct {
	Host         string    `json:"host"`
	IssuedBefore time.Time `json:"issued-before"`
}

// Outcomes of a Change.
const (
	Accepted = "accepted"
	Conflict = "conflict"  // another change was accepted after Base
	IDReused = "id-reused" // the ID was used for a change with other content
	Invalid  = "invalid"
)

// ChangeResult is the outcome of a Change.
type ChangeResult struct {
	Outcome  string     `json:"outcome"`
	Revision uint64     `json:"revision,omitempty"` // after an accepted change
	Winner   *ChangeRef `json:"winner,omitempty"`   // with conflict and id-reused
	Reason   string     `json:"reason,omitempty"`   // with invalid
}

// ChangeRef identifies an accepted change.
type ChangeRef struct {
	ID       string    `json:"id"`
	Operator string    `json:"operator"`
	Revision uint64    `json:"revision"`
	Time     time.Time `json:"time"`
}

// Progress is the propagation of a revision to the nodes.
type Progress struct {
	InForce  bool   `json:"in-force"` // no node serves an earlier revision any more
	UpToDate uint32 `json:"holding"`  // nodes that have received the revision
	Waiting  uint32 `json:"waiting"`  // nodes that may still serve an earlier revision
}

// List is a list of items read at one revision.
type List[T any] struct {
	Revision uint64 `json:"revision"`
	Items    []T    `json:"items"`
}

// Configuration is the current configuration, in the TOML format that the command
// papayarock answers generate writes.
type Configuration struct {
	Revision uint64 `json:"revision"`
	TOML     string `json:"toml"`
}

// Target is the state of a target.
type Target struct {
	Name        string    `json:"name"`
	Host        string    `json:"host"`
	DataCentre  string    `json:"data-centre"`
	Pool        string    `json:"pool"`
	Kind        string    `json:"kind"`
	Role        string    `json:"role"`
	Phase       string    `json:"phase"`
	Until       time.Time `json:"until,omitzero"` // deadline of Phase
	Incarnation uint64    `json:"incarnation"`
	Running     uint32    `json:"running"`             // running requests
	Condition   string    `json:"condition,omitempty"` // health of a target in service: well, slow, partitioned or dead
	Reason      string    `json:"reason,omitempty"`    // why Condition is not well
	Model       string    `json:"model,omitempty"`     // loaded model
	Version     string    `json:"version,omitempty"`   // of Model
	Order       string    `json:"order,omitempty"`     // number of the open order to the target
}

// Key describes a customer's API key, without its secret.
type Key struct {
	ID       string    `json:"id"`
	Customer string    `json:"customer"`
	Issued   time.Time `json:"issued"`
}

// Usage is the usage of one customer on one route in one reporting window. A window
// without usage, or whose figures were removed once they were acknowledged, is one item
// without Customer and Route.
type Usage struct {
	Window       uint64    `json:"window"`         // number of the window
	From         time.Time `json:"from"`           // start of the window
	Until        time.Time `json:"until,omitzero"` // end of the window
	State        string    `json:"state"`          // open, sealed, acknowledged
	Customer     string    `json:"customer,omitempty"`
	Route        string    `json:"route,omitempty"`
	Requests     uint64    `json:"requests"`
	PromptTokens uint64    `json:"prompt-tokens"`
	OutputTokens uint64    `json:"output-tokens"`
}

// Order is an instruction of the leader to a target, or to the platform to start or
// stop a target.
type Order struct {
	Number   string    `json:"number"`
	To       string    `json:"to"` // target or platform
	Target   string    `json:"target"`
	Kind     string    `json:"kind"`  // to a target: load, role, drain; to the platform: start, stop
	State    string    `json:"state"` // open, done, failed, abandoned
	Detail   string    `json:"detail,omitempty"`
	Deadline time.Time `json:"deadline"`
}

// AuditEntry is an accepted change.
type AuditEntry struct {
	Time        time.Time `json:"time"`
	Operator    string    `json:"operator"`
	Description string    `json:"what"`
	ChangeID    string    `json:"change"`
	Revision    uint64    `json:"revision"` // after the change
}

// Plan is the state of the leader's planner.
type Plan struct {
	Revision   uint64         `json:"revision"`
	WaitReason string         `json:"waiting,omitempty"` // why the planner takes no decisions
	LastStep   time.Time      `json:"stepped,omitzero"`  // when the planner last ran
	Groups     []PlanGroup    `json:"groups"`
	Decisions  []PlanDecision `json:"acts"` // most recent decisions, oldest first
}

// PlanGroup describes the engines of a pool in a data centre and the demand there.
// Rates are per second. Rates with the prefix Slow are averages over minutes, the
// others over seconds.
type PlanGroup struct {
	Pool             string  `json:"pool"`
	DataCentre       string  `json:"data-centre"`
	Mixed            int     `json:"mixed"` // engines that have this role or are changing to it
	Prefill          int     `json:"prefill"`
	Decode           int     `json:"decode"`
	Starting         int     `json:"starting"` // targets that were ordered and have not started yet
	Requests         float64 `json:"requests"`
	PromptTokens     float64 `json:"prompt-tokens"`
	OutputTokens     float64 `json:"output-tokens"`
	Urgent           float64 `json:"urgent"` // urgent share of the engine work, 0 to 1
	SlowPromptTokens float64 `json:"slow-prompt-tokens"`
	SlowOutputTokens float64 `json:"slow-output-tokens"`
	PrefillSpeed     float64 `json:"prefill-speed"` // tokens/s of an engine with the role prefill
	DecodeSpeed      float64 `json:"decode-speed"`
}

// PlanDecision is a decision of the planner.
type PlanDecision struct {
	Time       time.Time `json:"time"`
	Kind       string    `json:"kind"` // change-role, order-target, release-target
	Pool       string    `json:"pool"`
	DataCentre string    `json:"data-centre"`
	Target     string    `json:"target,omitempty"`
	Role       string    `json:"role,omitempty"`
	Gain       float64   `json:"gain"` // expected net gain, in seconds of engine work completed within the promised response time
	Outcome    string    `json:"outcome,omitempty"`
}

// Host is a host that runs a control replica or polls one.
type Host struct {
	Name     string    `json:"name"`
	Member   string    `json:"member,omitempty"` // voter, learner; empty for a node that only polls
	Leading  bool      `json:"leading,omitempty"`
	Via      string    `json:"via,omitempty"` // replica that it polls
	Revision uint64    `json:"revision"`      // latest revision that it has
	Seen     time.Time `json:"seen,omitzero"` // time of its last poll; for the responding replica itself, the current time
}

// Actions of a MemberChange.
const (
	AddLearner = "add-learner"
	Promote    = "promote"
	Remove     = "remove"
)

// MemberChange adds, promotes or removes one member of the Raft log.
type MemberChange struct {
	Action string `json:"action"`
	Host   string `json:"host"`
}

// MemberChangeResult lists the members after a MemberChange.
type MemberChangeResult struct {
	Voters   []string `json:"voters"`
	Learners []string `json:"learners"`
}

// Status is a summary of the state of a replica.
type Status struct {
	Host       string    `json:"host"`
	Leader     string    `json:"leader"`  // host of the leader; empty if unknown
	Leading    bool      `json:"leading"` // the replica is the leader and holds a lease
	Term       uint64    `json:"term"`
	LeaseUntil time.Time `json:"lease-until,omitzero"`
	Revision   uint64    `json:"revision"`
	Current    bool      `json:"current"` // the replica holds the lease, or has confirmed recently that its configuration is current
	Nodes      int       `json:"nodes"`   // nodes that poll this replica, directly or through relays
}

// Problem is the body of an error response.
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Leader  string `json:"leader,omitempty"`  // host, with not-leader
	Address string `json:"address,omitempty"` // operator address of the leader
}
