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

// scriptedServer returns the responses in order and repeats the last one.
type scriptedServer struct {
	mu        sync.Mutex
	responses []scriptedResponse
	bodies    []string // request bodies
}

type scriptedResponse struct {
	status int // 0 closes the connection without a response
	body   any
}

func (s *scriptedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body json.RawMessage
	_ = json.NewDecoder(r.Body).Decode(&body)
	s.mu.Lock()
	next := s.responses[min(len(s.bodies), len(s.responses)-1)]
	s.bodies = append(s.bodies, string(body))
	s.mu.Unlock()
	if next.status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(next.status)
	_ = json.NewEncoder(w).Encode(next.body)
}

func problem(status int, kind string) scriptedResponse {
	return scriptedResponse{status, operator.Problem{Type: kind, Title: kind, Status: status}}
}

var (
	noResponse   = scriptedResponse{}
	notCommitted = problem(http.StatusServiceUnavailable, operator.ProblemNotCommitted)
	uncertain    = problem(http.StatusGatewayTimeout, operator.ProblemUncertain)
	accepted     = scriptedResponse{http.StatusOK, operator.ChangeResult{Outcome: operator.Accepted, Revision: 7}}
	conflicting  = scriptedResponse{http.StatusConflict, operator.ChangeResult{
		Outcome: operator.Conflict, Winner: &operator.ChangeRef{ID: "theirs", Operator: "bo", Revision: 6},
	}}
	invalid = scriptedResponse{http.StatusUnprocessableEntity, operator.ChangeResult{Outcome: operator.Invalid, Reason: "no such key"}}
)

func address(s *httptest.Server) string {
	return strings.TrimPrefix(strings.TrimPrefix(s.URL, "https://"), "http://")
}

func newClient(t *testing.T, addresses ...string) *operator.Client {
	t.Helper()
	return newClientWithInterval(t, time.Millisecond, addresses)
}

// newOneRoundClient returns a client that gives up after the first round of attempts,
// since its retry interval exceeds the deadline.
func newOneRoundClient(t *testing.T, addresses ...string) *operator.Client {
	t.Helper()
	return newClientWithInterval(t, time.Hour, addresses)
}

func newClientWithInterval(t *testing.T, retryInterval time.Duration, addresses []string) *operator.Client {
	t.Helper()
	c, err := operator.New(operator.Options{Addresses: addresses, RetryInterval: retryInterval})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// Guards against a client that does not send a change again after a lost response, that
// sends it again with another ID, or that reports a certain outcome although one of the
// attempts may have committed the change.
func TestChange(t *testing.T) {
	tests := map[string]struct {
		responses []scriptedResponse
		want      error // nil if accepted
		sent      int   // expected number of attempts; 0 means one round of attempts, whose number is not checked
	}{
		"accepted":                      {[]scriptedResponse{accepted}, nil, 1},
		"retry after a lost response":   {[]scriptedResponse{noResponse, accepted}, nil, 2},
		"retry after 503 and 504":       {[]scriptedResponse{notCommitted, uncertain, accepted}, nil, 3},
		"conflict":                      {[]scriptedResponse{conflicting}, operator.ErrConflict, 1},
		"invalid":                       {[]scriptedResponse{invalid}, operator.ErrInvalid, 1},
		"refused":                       {[]scriptedResponse{problem(http.StatusForbidden, "operator")}, operator.ErrRefused, 1},
		"refused after a lost response": {[]scriptedResponse{noResponse, problem(http.StatusForbidden, "operator")}, operator.ErrUncertain, 2},
		"certainly not committed":       {[]scriptedResponse{notCommitted}, operator.ErrNotCommitted, 0},
		"last response uncertain":       {[]scriptedResponse{notCommitted, uncertain}, operator.ErrUncertain, 0},
		"first response lost":           {[]scriptedResponse{noResponse, notCommitted}, operator.ErrUncertain, 0},
		"unknown outcome":               {[]scriptedResponse{{http.StatusOK, map[string]string{"outcome": "perhaps"}}}, operator.ErrUncertain, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &scriptedServer{responses: tt.responses}
			s := httptest.NewServer(h)
			defer s.Close()
			c := newClient(t, address(s))
			if tt.sent == 0 { // one round of two attempts
				c = newOneRoundClient(t, address(s), address(s))
			}
			result, err := c.Change(t.Context(), operator.Change{ID: "mine", Action: operator.WithdrawKey})
			if tt.want == nil {
				is.NoErr(err)
				is.Equal(result.Revision, uint64(7))
			} else if !errors.Is(err, tt.want) {
				t.Fatalf("error %v, want %v", err, tt.want)
			}
			if tt.sent > 0 {
				is.Equal(len(h.bodies), tt.sent)
			}
			for _, body := range h.bodies {
				is.Equal(body, h.bodies[0]) // the same change with the same ID
			}
			var conflict *operator.ConflictError
			if errors.As(err, &conflict) {
				is.True(strings.Contains(err.Error(), `"theirs" of "bo"`))
			}
		})
	}
}

// Guards against a client that does not fail over from a replica that is down,
// stale or not the leader.
func TestFailover(t *testing.T) {
	closed := httptest.NewServer(nil)
	closed.Close()
	tests := map[string]func(leader string) (string, func()){
		"down": func(string) (string, func()) { return address(closed), func() {} },
		"stale": func(string) (string, func()) {
			s := httptest.NewServer(&scriptedServer{responses: []scriptedResponse{problem(http.StatusServiceUnavailable, "stale")}})
			return address(s), s.Close
		},
		"not leader": func(leader string) (string, func()) {
			s := httptest.NewServer(&scriptedServer{responses: []scriptedResponse{{http.StatusServiceUnavailable, operator.Problem{
				Type: operator.ProblemNotLeader, Title: "x", Status: http.StatusServiceUnavailable, Leader: "c2", Address: leader,
			}}}})
			return address(s), s.Close
		},
	}
	for name, first := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &scriptedServer{responses: []scriptedResponse{{http.StatusOK, operator.MemberChangeResult{Voters: []string{"c1"}}}}}
			leader := httptest.NewServer(h)
			defer leader.Close()
			other, stop := first(address(leader))
			defer stop()
			c := newClient(t, other, address(leader))
			for range 2 {
				result, err := c.ChangeMembers(t.Context(), operator.MemberChange{Action: operator.Remove, Host: "c3"})
				is.NoErr(err)
				is.Equal(result.Voters, []string{"c1"})
			}
			is.Equal(len(h.bodies), 2)
		})
	}
}

// Guards against a client that does not send its next attempt to the leader that a
// response names.
func TestFollowsLeader(t *testing.T) {
	is := is.New(t)
	leader := httptest.NewServer(&scriptedServer{responses: []scriptedResponse{{http.StatusOK, operator.MemberChangeResult{}}}})
	defer leader.Close()
	middleHandler := &scriptedServer{responses: []scriptedResponse{notCommitted}}
	middle := httptest.NewServer(middleHandler)
	defer middle.Close()
	first := httptest.NewServer(&scriptedServer{responses: []scriptedResponse{{http.StatusServiceUnavailable, operator.Problem{
		Type: operator.ProblemNotLeader, Title: "x", Status: http.StatusServiceUnavailable, Address: address(leader),
	}}}})
	defer first.Close()
	_, err := newClient(t, address(first), address(middle), address(leader)).ChangeMembers(t.Context(), operator.MemberChange{})
	is.NoErr(err)
	is.Equal(len(middleHandler.bodies), 0)
}

// Guards against an operator or control replica that is accepted although its
// certificate lacks the required role.
func TestMutualTLS(t *testing.T) {
	now := time.Now()
	authority, err := identity.NewAuthority(now, now.Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	otherAuthority, err := identity.NewAuthority(now, now.Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		clientAuthority *identity.Authority
		clientRole      identity.Role
		serverRole      identity.Role
		ok              bool
	}{
		"operator":                      {authority, identity.Operator, identity.Control, true},
		"client with the role entry":    {authority, identity.Entry, identity.Control, false},
		"server with the role entry":    {authority, identity.Operator, identity.Entry, false},
		"operator of another authority": {otherAuthority, identity.Operator, identity.Control, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			serverCredentials, err := authority.Issue("c1", []identity.Role{tt.serverRole}, now, now.Add(time.Hour))
			is.NoErr(err)
			clientCredentials, err := tt.clientAuthority.Issue("ana", []identity.Role{tt.clientRole}, now, now.Add(time.Hour))
			is.NoErr(err)
			h := &scriptedServer{responses: []scriptedResponse{accepted}}
			s := httptest.NewUnstartedServer(h)
			s.Config.ErrorLog = log.New(io.Discard, "", 0)
			s.TLS = identity.ServerConfig(serverCredentials, identity.Operator)
			s.StartTLS()
			defer s.Close()
			c, err := operator.New(operator.Options{Addresses: []string{address(s)}, Credentials: clientCredentials, RetryInterval: time.Millisecond})
			is.NoErr(err)
			defer c.Close()
			_, err = c.Change(t.Context(), operator.Change{ID: "mine"})
			if tt.ok {
				is.NoErr(err)
				return
			}
			is.True(errors.Is(err, operator.ErrNotCommitted)) // without retries, which could not succeed
			is.Equal(len(h.bodies), 0)
		})
	}
}

// Guards against invalid addresses that New accepts, so that they fail on first use only.
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
