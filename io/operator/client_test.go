package operator_test

import (
	"encoding/json"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"papayarock/io/identity"
	"papayarock/io/operator"
)

// scripted answers each request with the next step; the last one repeats.
type scripted struct {
	mu    sync.Mutex
	steps []step
	seen  []string // bodies
}

type step struct {
	status int // 0 closes the connection without an answer
	body   any
}

func (s *scripted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body json.RawMessage
	_ = json.NewDecoder(r.Body).Decode(&body)
	s.mu.Lock()
	now := s.steps[min(len(s.seen), len(s.steps)-1)]
	s.seen = append(s.seen, string(body))
	s.mu.Unlock()
	if now.status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(now.status)
	_ = json.NewEncoder(w).Encode(now.body)
}

func problem(status int, kind string) step {
	return step{status, operator.Problem{Type: kind, Title: kind, Status: status}}
}

var (
	lost      = step{}
	not       = problem(http.StatusServiceUnavailable, operator.ProblemNotCommitted)
	uncertain = problem(http.StatusGatewayTimeout, operator.ProblemUncertain)
	accepted  = step{http.StatusOK, operator.ChangeAnswer{Outcome: operator.Accepted, Revision: 7}}
	beaten    = step{http.StatusConflict, operator.ChangeAnswer{
		Outcome: operator.Conflict, Winner: &operator.ChangeRef{ID: "theirs", Operator: "bo", Revision: 6},
	}}
	invalid = step{http.StatusUnprocessableEntity, operator.ChangeAnswer{Outcome: operator.Invalid, Reason: "no such key"}}
)

func address(s *httptest.Server) string {
	return strings.TrimPrefix(strings.TrimPrefix(s.URL, "https://"), "http://")
}

func newClient(t *testing.T, addresses ...string) *operator.Client {
	t.Helper()
	return pausingClient(t, time.Millisecond, addresses)
}

// newPatientClient returns a client whose pause after the first round exceeds
// the deadline.
func newPatientClient(t *testing.T, addresses ...string) *operator.Client {
	t.Helper()
	return pausingClient(t, time.Hour, addresses)
}

func pausingClient(t *testing.T, pause time.Duration, addresses []string) *operator.Client {
	t.Helper()
	c, err := operator.New(operator.Options{Addresses: addresses, Pause: pause})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// Guards against a change that is given up after a lost answer, resent under
// another id, or reported with more certainty than the answers allow.
func TestChange(t *testing.T) {
	tests := map[string]struct {
		steps []step
		kind  error // nil if accepted
		sent  int   // 0 if the deadline ends it
	}{
		"accepted":                   {[]step{accepted}, nil, 1},
		"resent after a lost answer": {[]step{lost, accepted}, nil, 2},
		"resent after 503 and 504":   {[]step{not, uncertain, accepted}, nil, 3},
		"conflict":                   {[]step{beaten}, operator.ErrConflict, 1},
		"invalid":                    {[]step{invalid}, operator.ErrInvalid, 1},
		"refused":                    {[]step{problem(http.StatusForbidden, "operator")}, operator.ErrRefused, 1},
		"refused after a lost one":   {[]step{lost, problem(http.StatusForbidden, "operator")}, operator.ErrUncertain, 2},
		"never committed":            {[]step{not}, operator.ErrNotCommitted, 0},
		"last answer uncertain":      {[]step{not, uncertain}, operator.ErrUncertain, 0},
		"once uncertain":             {[]step{lost, not}, operator.ErrUncertain, 0},
		"unknown outcome":            {[]step{{http.StatusOK, map[string]string{"outcome": "perhaps"}}}, operator.ErrUncertain, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &scripted{steps: tt.steps}
			s := httptest.NewServer(h)
			defer s.Close()
			c := newClient(t, address(s))
			if tt.sent == 0 { // one round of two attempts
				c = newPatientClient(t, address(s), address(s))
			}
			answer, err := c.Change(t.Context(), operator.Change{ID: "mine", Action: operator.WithdrawKey})
			if tt.kind == nil {
				is.NoErr(err)
				is.Equal(answer.Revision, uint64(7))
			} else if !errors.Is(err, tt.kind) {
				t.Fatalf("error %v, want %v", err, tt.kind)
			}
			if tt.sent > 0 {
				is.Equal(len(h.seen), tt.sent)
			}
			for _, body := range h.seen {
				is.Equal(body, h.seen[0]) // the same change under the same id
			}
			var conflict *operator.ConflictError
			if errors.As(err, &conflict) {
				is.True(strings.Contains(err.Error(), `"theirs" of "bo"`))
			}
		})
	}
}

// Guards against a client that insists on a replica that is down, does not
// lead or is stale while another would answer.
func TestTriesOtherAddresses(t *testing.T) {
	closed := httptest.NewServer(nil)
	closed.Close()
	tests := map[string]func(leader string) (string, func()){
		"down": func(string) (string, func()) { return address(closed), func() {} },
		"stale": func(string) (string, func()) {
			s := httptest.NewServer(&scripted{steps: []step{problem(http.StatusServiceUnavailable, "stale")}})
			return address(s), s.Close
		},
		"not leader": func(leader string) (string, func()) {
			s := httptest.NewServer(&scripted{steps: []step{{http.StatusServiceUnavailable, operator.Problem{
				Type: operator.ProblemNotLeader, Title: "x", Status: http.StatusServiceUnavailable, Leader: "c2", Address: leader,
			}}}})
			return address(s), s.Close
		},
	}
	for name, first := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &scripted{steps: []step{{http.StatusOK, operator.HostAnswer{Voters: []string{"c1"}}}}}
			leader := httptest.NewServer(h)
			defer leader.Close()
			other, stop := first(address(leader))
			defer stop()
			c := newClient(t, other, address(leader))
			for range 2 {
				answer, err := c.ChangeHosts(t.Context(), operator.HostChange{Action: operator.Remove, Host: "c3"})
				is.NoErr(err)
				is.Equal(answer.Voters, []string{"c1"})
			}
			is.Equal(len(h.seen), 2)
		})
	}
}

// Guards against a named leader that is not asked next.
func TestFollowsLeader(t *testing.T) {
	is := is.New(t)
	leader := httptest.NewServer(&scripted{steps: []step{{http.StatusOK, operator.HostAnswer{}}}})
	defer leader.Close()
	between := &scripted{steps: []step{not}}
	middle := httptest.NewServer(between)
	defer middle.Close()
	first := httptest.NewServer(&scripted{steps: []step{{http.StatusServiceUnavailable, operator.Problem{
		Type: operator.ProblemNotLeader, Title: "x", Status: http.StatusServiceUnavailable, Address: address(leader),
	}}}})
	defer first.Close()
	_, err := newClient(t, address(first), address(middle), address(leader)).ChangeHosts(t.Context(), operator.HostChange{})
	is.NoErr(err)
	is.Equal(len(between.seen), 0)
}

// Guards against operators or control processes that are accepted without the
// role that their certificate must prove.
func TestMutualTLS(t *testing.T) {
	now := time.Now()
	authority, err := identity.NewAuthority(now, now.Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	stranger, err := identity.NewAuthority(now, now.Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		authority *identity.Authority // of the operator
		role      identity.Role       // of the operator
		server    identity.Role
		ok        bool
	}{
		"operator":                      {authority, identity.Operator, identity.Control, true},
		"an entry is no operator":       {authority, identity.Entry, identity.Control, false},
		"an entry is no control":        {authority, identity.Operator, identity.Entry, false},
		"operator of another authority": {stranger, identity.Operator, identity.Control, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			host, err := authority.Issue("c1", []identity.Role{tt.server}, now, now.Add(time.Hour))
			is.NoErr(err)
			own, err := tt.authority.Issue("ana", []identity.Role{tt.role}, now, now.Add(time.Hour))
			is.NoErr(err)
			h := &scripted{steps: []step{accepted}}
			s := httptest.NewUnstartedServer(h)
			s.Config.ErrorLog = log.New(io.Discard, "", 0)
			s.TLS = identity.ServerConfig(host, identity.Operator)
			s.StartTLS()
			defer s.Close()
			c, err := operator.New(operator.Options{Addresses: []string{address(s)}, Credentials: own, Pause: time.Millisecond})
			is.NoErr(err)
			defer c.Close()
			_, err = c.Change(t.Context(), operator.Change{ID: "mine"})
			if tt.ok {
				is.NoErr(err)
				return
			}
			is.True(errors.Is(err, operator.ErrNotCommitted)) // at once, since trying again cannot help
			is.Equal(len(h.seen), 0)
		})
	}
}

// Guards against addresses that fail only once they are used.
func TestOptions(t *testing.T) {
	for name, addresses := range map[string][]string{
		"none": nil, "no port": {"127.0.0.1"}, "port 0": {"127.0.0.1:0"}, "URL": {"http://127.0.0.1:7400"}, "no host": {":7400"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := operator.New(operator.Options{Addresses: addresses})
			is.New(t).True(errors.Is(err, operator.ErrOptions))
		})
	}
}
