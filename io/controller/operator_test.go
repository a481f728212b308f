package controller_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/config"
	"papayarock/core/fleet"
	"papayarock/core/state"
	"papayarock/examples"
	"papayarock/io/answers"
	"papayarock/io/operator"
)

// request sends an operator's request to a replica, decodes the response body into
// response, and returns the status.
func (c *cluster) request(h fleet.Host, name, method, path string, body, response any) int {
	c.t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		c.t.Error(err)
	}
	w := httptest.NewRecorder()
	handler := c.replicas[h].OperatorHandler(func(*http.Request) (string, error) { return name, nil })
	handler.ServeHTTP(w, httptest.NewRequestWithContext(c.t.Context(), method, path, bytes.NewReader(text)))
	if err := json.Unmarshal(w.Body.Bytes(), response); err != nil {
		c.t.Errorf("%s %s: status %d, body %q", method, path, w.Code, w.Body)
	}
	return w.Code
}

// Guards against two concurrent changes that are both reported as accepted, a
// conflict that does not name the accepted change, and a repeated change that gets a
// different response.
func operatorsRace(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	defer c.stop()
	await(t, "no leader", func() bool { return c.leader() != "" })
	texts := map[string]string{"ana": string(examples.Terengganu), "bo": string(examples.Association)}
	hosts := map[string]fleet.Host{"ana": c.leader(), "bo": anyFollower(c)[0]}
	send := func(who string) (int, operator.ChangeResult) {
		var a operator.ChangeResult
		code := c.request(hosts[who], who, http.MethodPost, "/v1/changes", operator.Change{
			ID: "of-" + who, Action: operator.ApplyAnswers, Answers: texts[who],
		}, &a)
		return code, a
	}
	var mu sync.Mutex
	codes, got := make(map[string]int), make(map[string]operator.ChangeResult)
	var wg sync.WaitGroup
	for who := range texts {
		wg.Go(func() {
			code, a := send(who)
			mu.Lock()
			defer mu.Unlock()
			codes[who], got[who] = code, a
		})
	}
	wg.Wait()
	winner, loser := "ana", "bo"
	if got["bo"].Outcome == operator.Accepted {
		winner, loser = loser, winner
	}
	is.Equal(codes[winner], http.StatusOK)
	is.Equal(codes[loser], http.StatusConflict)
	is.Equal(got[loser].Outcome, operator.Conflict)
	is.Equal(got[loser].Winner.ID, "of-"+winner)
	is.Equal(got[loser].Winner.Operator, winner)
	for who := range texts {
		code, again := send(who)
		is.Equal(code, codes[who])
		is.Equal(again, got[who])
	}
}

// Guards against a configuration that operators read back differently from the one
// accepted, and against a replica that returns a revision older than an accepted
// change.
func configurationIsReadBack(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	defer c.stop()
	await(t, "no leader", func() bool { return c.leader() != "" })
	leader := c.leader()
	type configurationResponse struct {
		operator.Configuration
		Type string `json:"type"`
	}
	read := func(h fleet.Host) (int, configurationResponse) {
		var response configurationResponse
		return c.request(h, "ana", http.MethodGet, "/v1/configuration", nil, &response), response
	}
	await(t, "a follower is stale", func() bool {
		for _, h := range anyFollower(c) {
			if _, response := read(h); response.Type == "stale" {
				return false
			}
		}
		return true
	})
	var change operator.ChangeResult
	is.Equal(c.request(leader, "ana", http.MethodPost, "/v1/changes", operator.Change{
		ID: "first", Action: operator.ApplyAnswers, Answers: string(examples.Terengganu),
	}, &change), http.StatusOK)
	for _, h := range anyFollower(c) {
		if code, response := read(h); code == http.StatusOK {
			is.True(response.Revision >= change.Revision)
		} else {
			is.Equal(response.Type, operator.ProblemNotLeader)
		}
	}
	var v operator.Configuration
	is.Equal(c.request(leader, "ana", http.MethodGet, "/v1/configuration", nil, &v), http.StatusOK)
	is.Equal(v.Revision, change.Revision)
	d, faults := answers.ParseDocument([]byte(v.TOML))
	is.Equal(len(faults), 0)
	a, _ := answers.Check(examples.Terengganu)
	is.Equal(answers.Diff(d, answers.Generate(a).Document), []answers.Change{})
}

// Guards against a revised questionnaire that puts the whole document into the log
// instead of the differences, and against a repeated change that gets a different
// response after the configuration has changed.
func revisionCarriesDifferences(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	defer c.stop()
	await(t, "no leader", func() bool { return c.leader() != "" })
	apply := func(id string, base uint64, customers int) (a operator.ChangeResult) {
		text := string(examples.Terengganu)
		for i := range customers {
			text += fmt.Sprintf("\n[[customer]]\nname = \"more-%d\"\n", i)
		}
		c.request(c.leader(), "ana", http.MethodPost, "/v1/changes", operator.Change{
			ID: id, Base: base, Action: operator.ApplyAnswers, Answers: text,
		}, &a)
		return a
	}
	first := apply("first", 0, 3)
	is.Equal(first.Outcome, operator.Accepted)
	second := apply("second", first.Revision, 2)
	is.Equal(second.Outcome, operator.Accepted)
	is.Equal(apply("first", 0, 3), first)
	is.Equal(apply("first", 0, 2).Outcome, operator.IDReused)
	var audit operator.List[operator.AuditEntry]
	is.Equal(c.request(c.leader(), "ana", http.MethodGet, "/v1/audit", nil, &audit), http.StatusOK)
	is.True(strings.HasSuffix(audit.Items[1].Description, "; 0 customers put, 1 removed"))
}

// largeQuestionnaire returns a questionnaire whose document exceeds the size limit of
// a log entry.
func largeQuestionnaire(of string) string {
	var text strings.Builder
	text.Write(examples.Terengganu)
	for i := range 12000 {
		_, _ = fmt.Fprintf(&text, "\n[[customer]]\nname = \"%s-%s-%d\"\n", strings.Repeat("x", 50), of, i)
	}
	return text.String()
}

// Guards against a large document that cannot be configured, and against two changes
// whose interleaved pieces give a mixed document, are both lost, or get different
// responses when repeated.
func largeChangesRace(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	defer c.stop()
	await(t, "no leader", func() bool { return c.leader() != "" })
	hosts := map[string]fleet.Host{"ana": c.leader(), "bo": anyFollower(c)[0]}
	send := func(who string) (a operator.ChangeResult) {
		await(t, "the change is not decided", func() bool {
			a = operator.ChangeResult{}
			code := c.request(hosts[who], who, http.MethodPost, "/v1/changes", operator.Change{
				ID: "of-" + who, Action: operator.ApplyAnswers, Answers: largeQuestionnaire(who),
			}, &a)
			return code == http.StatusOK || code == http.StatusConflict
		})
		return a
	}
	var ana, bo operator.ChangeResult
	var wg sync.WaitGroup
	wg.Go(func() { ana = send("ana") })
	wg.Go(func() { bo = send("bo") })
	wg.Wait()
	outcomes := []string{ana.Outcome, bo.Outcome}
	slices.Sort(outcomes)
	is.Equal(outcomes, []string{operator.Accepted, operator.Conflict})
	is.Equal(send("ana"), ana)
	is.Equal(send("bo"), bo)
	var audit operator.List[operator.AuditEntry]
	is.Equal(c.request(c.leader(), "ana", http.MethodGet, "/v1/audit", nil, &audit), http.StatusOK)
	is.Equal(len(audit.Items), 1)
	is.True(strings.HasSuffix(audit.Items[0].Description, "; 12008 customers put, 0 removed"))
}

// Guards against staged pieces that are lost when the leader changes.
func leaderChangesBetweenPieces(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	defer c.stop()
	await(t, "no leader", func() bool { return c.leader() != "" })
	old := c.leader()
	node, stop := c.client("o1", anyFollower(c)...)
	defer stop()
	await(t, "the node is not fresh", func() bool { return node.Fresh(time.Now()) })
	a, err := state.EditAction(node.Config.Load(), config.Document{Customers: []config.Customer{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}}})
	is.NoErr(err)
	pieces := a.(state.EditDocument).Split(1)
	change := state.Change{ID: "pieces", Base: node.Config.Load().Revision, Operator: "ana"}
	for _, change.Action = range pieces[:2] {
		r, err := submit(node, change)
		is.NoErr(err)
		is.Equal(r.Outcome, state.ChangeStaged)
	}
	c.isolate(old)
	await(t, "no new leader", func() bool { l := c.leader(); return l != "" && l != old })
	change.Action = pieces[2]
	await(t, "the last piece makes no change", func() bool {
		r, err := submit(node, change)
		return err == nil && r.Outcome == state.ChangeAccepted
	})
	await(t, "the node lacks the change", func() bool {
		_, a := node.Config.Load().Customer("a")
		_, b := node.Config.Load().Customer("b")
		return a && b
	})
}

// Guards against a change that exceeds the log's size limit and is refused with a
// status that invites a retry.
func changeIsTooLarge(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	defer c.stop()
	await(t, "no leader", func() bool { return c.leader() != "" })
	var text strings.Builder
	text.Write(examples.Terengganu)
	for i := range 12000 { // in the general part, which cannot be split
		_, _ = fmt.Fprintf(&text, "\n[[model]]\nname = \"%s-%d\"\nversion = \"1\"\nbytes = 1\n", strings.Repeat("x", 50), i)
	}
	var p operator.Problem
	is.Equal(c.request(c.leader(), "ana", http.MethodPost, "/v1/changes", operator.Change{
		ID: "large", Action: operator.ApplyAnswers, Answers: text.String(),
	}, &p), http.StatusRequestEntityTooLarge)
	is.Equal(p.Type, "too-large")
}

// Guards against membership changes by a replica that does not lead, a repeated
// change that fails, and changes that the current members do not allow.
func hostsJoinAndLeave(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "c4")
	defer c.stop()
	await(t, "no leader", func() bool { return c.leader() != "" })
	leader := c.leader()
	post := func(h fleet.Host, action, host string, response any) int {
		return c.request(h, "ana", http.MethodPost, "/v1/hosts", operator.MemberChange{Action: action, Host: host}, response)
	}

	var p operator.Problem
	is.Equal(post(anyFollower(c)[0], operator.AddLearner, "c4", &p), http.StatusServiceUnavailable)
	is.Equal(p.Type, operator.ProblemNotLeader)
	is.Equal(p.Leader, string(leader))
	is.Equal(p.Address, c.operators[leader].String())

	for name, bad := range map[string][2]string{
		"unknown action": {"crown", "c4"}, "no host": {operator.AddLearner, ""}, "no address": {operator.AddLearner, "c9"},
		"a voter cannot become a learner": {operator.AddLearner, "c1"}, "only learners are promoted": {operator.Promote, "c4"},
	} {
		if code := post(leader, bad[0], bad[1], &p); code != http.StatusUnprocessableEntity || p.Type != operator.ProblemInvalid {
			t.Errorf("%s: status %d, %+v", name, code, p)
		}
	}

	var a operator.MemberChangeResult
	for range 2 { // the second repeats the change
		is.Equal(post(leader, operator.AddLearner, "c4", &a), http.StatusOK)
		is.Equal(a, operator.MemberChangeResult{Voters: []string{"c1", "c2", "c3"}, Learners: []string{"c4"}})
	}
	time.Sleep(time.Second) // virtual; the followers know the learner too
	is.Equal(post(anyFollower(c)[0], operator.AddLearner, "c4", &p), http.StatusServiceUnavailable)
	is.Equal(p.Type, operator.ProblemNotLeader)                                       // a follower does not answer from its own member list
	is.Equal(post(leader, operator.Promote, "c4", &p), http.StatusServiceUnavailable) // has not caught up
	c.start("c4", t.TempDir())
	await(t, "the learner is not promoted", func() bool {
		return post(leader, operator.Promote, "c4", &a) == http.StatusOK
	})
	for range 2 {
		is.Equal(post(leader, operator.Promote, "c4", &a), http.StatusOK)
		is.Equal(strings.Join(a.Voters, " "), "c1 c2 c3 c4")
	}
	for range 2 {
		await(t, "the host is not removed", func() bool { return post(leader, operator.Remove, "c4", &a) == http.StatusOK })
		is.Equal(a, operator.MemberChangeResult{Voters: []string{"c1", "c2", "c3"}, Learners: []string{}})
	}
	time.Sleep(time.Second) // virtual
	is.Equal(c.leader(), leader)
}

// Guards against a group that cannot replace a voter with a lost disk, or that loses
// changes when a second voter is lost directly afterwards.
func lostVoterIsReplaced(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "c4")
	defer c.stop()
	await(t, "no leader", func() bool { return c.leader() != "" })
	leader, lost := c.leader(), anyFollower(c)[0]
	stopReplica := func(h fleet.Host) {
		c.stops[h]()
		delete(c.stops, h)
		delete(c.replicas, h)
	}
	stopReplica(lost)
	post := func(action string, host fleet.Host) func() bool {
		return func() bool {
			var a operator.MemberChangeResult
			h := c.leader()
			return h != "" && c.request(h, "ana", http.MethodPost, "/v1/hosts", operator.MemberChange{Action: action, Host: string(host)}, &a) == http.StatusOK
		}
	}
	await(t, "the lost voter is not removed", post(operator.Remove, lost))
	c.start("c4", t.TempDir())
	await(t, "the new host is not added", post(operator.AddLearner, "c4"))
	await(t, "the new host is not promoted", post(operator.Promote, "c4"))
	var a operator.ChangeResult
	is.Equal(c.request(c.leader(), "ana", http.MethodPost, "/v1/changes", operator.Change{
		ID: "first", Action: operator.ApplyAnswers, Answers: string(examples.Terengganu),
	}, &a), http.StatusOK)

	stopReplica(leader)
	await(t, "no leader after the second loss", func() bool { return c.leader() != "" })
	is.True(c.leader() != leader)
	var v operator.Configuration
	await(t, "the change is lost", func() bool {
		h := c.leader()
		return h != "" && c.request(h, "ana", http.MethodGet, "/v1/configuration", nil, &v) == http.StatusOK && v.Revision >= a.Revision
	})
}
