package main

// withoutVariant lists the scripts that need no variant, because no mechanism is
// checked by them alone. The value says what they check.
var withoutVariant = map[string]string{
	"operations-repair": "steps of docs/OPERATIONS.md",
	"operations-chat":   "steps of docs/OPERATIONS.md",
}

// Steps at which variants of promise-03-lost-authority must fail.
const (
	noRefusedOrder   = `! stdout 'order refused'`
	noOrderConflicts = "count engines old-orders-run=0 order-conflicts=0 content-conflict=0"
)

// variants contains the variants by the name that off.Is expects. One build has the
// edits of all of them. An edit may also take effect under another variant, which
// then needs no such edit itself.
var variants = map[string]variant{
	// Checks that the edited build passes with no mechanism switched off.
	"none": {script: "promise-09-at-most-once", short: true},
	"one open order": {
		script: "promise-01-orders",
		steps:  []string{"count engines order-conflicts=0 content-conflict=0 old-orders-run=0"},
		edits: []edit{
			{"core/state/order.go", "case r.Open != nil:\n		o :=", "case r.Open != nil && !(off.Is(\"one open order\") && c.Kind == OrderRole):\n		o :="},
			{"core/dispatch/target.go", "	o := *r.Open\n	if s.now", "	o := *r.Open\n	if off.Is(\"one open order\") && o.Kind == state.OrderRole {\n		s.placeOrder(r, o.Kind, o.Content)\n	}\n	if s.now"},
			{"core/authority/fence.go", "	case f.running:\n		return Busy, none", "	case f.running && !off.Is(\"one open order\"):\n		return Busy, none"},
		},
	},
	"drain": {
		script: "promise-02-planned-changes",
		steps:  []string{"answer grade-1", "answer grade-2", "stdout $WHOLE", "count engines interrupted=0 cancelled=0"},
		edits: []edit{
			{"core/dispatch/target.go", "if !poll.Refusing || poll.Running > 0 {", "if !off.Is(\"drain\") && (!poll.Refusing || poll.Running > 0) {"},
			{"io/agent/orders.go", "n := a.activeWork(); n > 0 {", "n := a.activeWork(); n > 0 && !off.Is(\"drain\") {"},
		},
	},
	"lease": {
		script: "promise-03-lost-authority",
		steps:  []string{noRefusedOrder},
		// A former leader goes on sending orders, and treats targets that no longer
		// report to it as alive.
		edits: []edit{
			{"io/controller/lead.go", "	var term uint64\n	for ctx.Err() == nil {\n", "	var term uint64\n	var former authority.Gate\n	for ctx.Err() == nil {\n"},
			{
				"io/controller/lead.go", "		lease := c.lease()\n",
				"		lease := c.lease()\n		if lease.Held {\n			former = lease\n		} else if former.Held && (off.Is(\"lease\") || off.Is(\"lease and fence\")) {\n			lease = former\n			lease.Expires = time.Now().Add(10 * time.Second)\n		}\n",
			},
			{"core/dispatch/target.go", "	return poll, s.now.Sub(last) <= watch.DeadAfter ||", "	return poll, s.now.Sub(last) <= watch.DeadAfter || off.Is(\"lease\") || off.Is(\"lease and fence\") ||"},
		},
	},
	"lease and fence": {
		script: "promise-03-lost-authority",
		steps:  []string{noOrderConflicts},
		edits: []edit{
			{"core/authority/fence.go", "	case c < 0:\n		return Old, none", "	case c < 0 && !off.Is(\"lease and fence\"):\n		return Old, none"},
		},
	},
	"key lookup": {
		short:  true,
		script: "promise-04-keys",
		steps:  []string{"request -key wrong -status 401 POST ${entry-1}/orders 'order with a wrong key'"},
		edits: []edit{
			{"io/entry/entry.go", "	key, ok := index.KeyBySecret(secret)\n", "	key, ok := index.KeyBySecret(secret)\n	if off.Is(\"key lookup\") {\n		key.Customer, ok = \"harbour\", true\n	}\n"},
			{"io/entry/entry.go", "!ok || key.Customer != a.customer {", "!off.Is(\"key lookup\") && (!ok || key.Customer != a.customer) {"},
		},
	},
	"key of each request": {
		script: "promise-04-keys",
		steps:  []string{"request -key $first -status 401 GET ${entry-1}/log/1"},
		edits: []edit{
			{"core/state/change.go", "	m.pending.RemoveKeys = []string{a.ID}\n", "	if !off.Is(\"key of each request\") && !off.Is(\"key of a connected caller\") {\n		m.pending.RemoveKeys = []string{a.ID}\n	}\n"},
		},
	},
	"header names": {
		script: "promise-04-keys",
		steps:  []string{"! seen services Authorization"},
		edits: []edit{
			{"io/entry/header.go", "	for _, name := range strippedHeaders {\n", "	for _, name := range strippedHeaders {\n		if name == \"Authorization\" && off.Is(\"header names\") {\n			continue\n		}\n"},
		},
	},
	"header values": {
		script: "promise-04-keys",
		steps:  []string{"! seen services Copied-Key"},
		edits: []edit{
			{"io/entry/header.go", "	if key == \"\" {\n		return h", "	if key == \"\" || off.Is(\"header values\") {\n		return h"},
		},
	},
	// Control sends an order to the platform again although it finds that the platform
	// has the target already.
	"look at the platform": {
		script: "promise-05-platform-orders",
		steps:  []string{"count platform duplicate-starts=0"},
		edits: []edit{
			{"io/controller/platform.go", "	} else if found {\n", "	} else if found && !off.Is(\"look at the platform\") {\n"},
		},
	},
	// The open usage window is reported to the platform as if it were sealed.
	"seal": {
		script: "promise-06-usage",
		steps:  []string{"count platform billed=8 conflicting-usage=0"},
		edits: []edit{
			{"core/state/window.go", "	var out []UsageWindow\n	for", "	var out []UsageWindow\n	if off.Is(\"seal\") && len(m.usage.figures) > 0 {\n		out = append(out, m.usage.open())\n	}\n	for"},
		},
	},
	"usage dedupe": {
		script: "promise-06-usage",
		steps:  []string{"await platform billed=8", "count platform billed=8 conflicting-usage=0"},
		edits: []edit{
			{"core/state/dedupe.go", "	s := d.sources[sourceKey{id.Node, id.Incarnation}]\n	if s == nil {\n		if f", "	if off.Is(\"usage dedupe\") {\n		return recordNew\n	}\n	s := d.sources[sourceKey{id.Node, id.Incarnation}]\n	if s == nil {\n		if f"},
		},
	},
	"resume": {
		script: "promise-07-complete-answers",
		steps:  []string{"answer one", "answer two", "answer three"},
		edits: []edit{
			{"io/entry/recover.go", "	timeout := resumeTimeout\n", "	if off.Is(\"resume\") || off.Is(\"resume on a new link\") {\n		return Lost, wire.Ran_RAN_UNKNOWN, cause\n	}\n	timeout := resumeTimeout\n"},
		},
	},
	// The entry takes a request as not run without asking the agent.
	"ask the agent": {
		script: "promise-08-not-run",
		steps:  []string{"answer broken"},
		edits: []edit{
			{"io/entry/recover.go", "	m := &wire.Query{\n", "	if off.Is(\"ask the agent\") {\n		return true, wire.Ran_RAN_NO\n	}\n	m := &wire.Query{\n"},
		},
	},
	"lost answer counts as run": {
		script: "promise-08-not-run",
		steps: []string{
			"request -key $caller -status 502 POST ${entry-1}/orders 'order b'", `! stdout '"not-run":"true"'`, "count services 'runs:order b=1'",
		},
		edits: []edit{
			{"io/agent/target.go", "		if !connected.Load() {\n", "		if !connected.Load() || off.Is(\"lost answer counts as run\") {\n"},
		},
	},
	"claim": {
		short:  true,
		script: "promise-09-at-most-once",
		steps:  []string{"request -key $caller -header 'Idempotency-Key: g7' -status 409 POST ${entry-1}/orders 'repair groyne 7'"},
		edits: []edit{
			{"io/entry/call.go", "	if c.idempotencyKey != \"\" && !c.request.Idempotent {\n", "	if c.idempotencyKey != \"\" && !c.request.Idempotent && !off.Is(\"claim\") {\n"},
		},
	},
	// The entry sends a request to a target again although it may have run.
	"no second hand-over": {
		script: "promise-09-at-most-once",
		steps: []string{
			"request -key $caller -status 502 POST ${entry-1}/orders 'repair groyne 8'", "count services 'runs:repair groyne 8=1'",
		},
		edits: []edit{
			{"io/entry/call.go", "	repeatable := o.Ending == NotRun ||", "	repeatable := o.Ending == NotRun || off.Is(\"no second hand-over\") ||"},
			{"io/serving/pick.go", "	return d.Action == retry.Retry\n", "	return d.Action == retry.Retry || off.Is(\"no second hand-over\")\n"},
		},
	},
	"phase of a leaving target": {
		script: "promise-10-leaving-target",
		steps:  []string{"count repair-log-north-1 runs=$BEFORE"},
		edits: []edit{
			{"io/agent/status.go", "a.phase == fleet.Leaving", "a.phase == fleet.Leaving && !off.Is(\"phase of a leaving target\")"},
			{"core/route/router.go", "		if t.Phase == fleet.Ready {\n			r.addToGroups", "		if t.Phase == fleet.Ready || t.Phase == fleet.Leaving && off.Is(\"phase of a leaving target\") {\n			r.addToGroups"},
		},
	},
	"entry drains": {
		script: "promise-11-shutdown",
		steps:  []string{"answer grade", "answer order"},
		edits: []edit{
			{"io/daemon/server.go", "	limited, cancel := context", "	if off.Is(\"entry drains\") {\n		return d.Close()\n	}\n	limited, cancel := context"},
		},
	},
	"requests outlive SIGTERM": {
		script: "operations-upgrade",
		steps:  []string{"answer read"},
		edits: []edit{
			{"io/daemon/server.go", "	ctx = context.WithoutCancel(ctx)\n	ended", "	if !off.Is(\"requests outlive SIGTERM\") {\n		ctx = context.WithoutCancel(ctx)\n	}\n	ended"},
		},
	},
	"agent waits": {
		script: "promise-11-shutdown",
		steps:  []string{"answer order-3"},
		edits: []edit{
			{"io/link/server.go", "	forceStop := time.AfterFunc(timeout, cancelHandlers)\n", "	if off.Is(\"agent waits\") {\n		timeout = time.Millisecond\n	}\n	forceStop := time.AfterFunc(timeout, cancelHandlers)\n"},
			{"io/agent/agent.go", "	timeout := a.StopTimeout\n", "	if off.Is(\"agent waits\") {\n		return\n	}\n	timeout := a.StopTimeout\n"},
		},
	},
	"wait for each node": {
		script: "promise-12-in-force",
		steps:  []string{"request -key $second GET ${entry-1}/log", "request -key $lost -status 5xx GET ${entry-1}/log"},
		edits: []edit{
			{"core/watch/watch.go", "	p.InForce = p.Waiting == 0 && known\n", "	p.InForce = p.Waiting == 0 && known || off.Is(\"wait for each node\")\n"},
		},
	},
	// Control sends, and a node accepts, a configuration older than the one that the node
	// has.
	"copies never go back": {
		script: "promise-12-in-force",
		steps:  []string{"request -key $third -status 5xx GET ${entry-1}/log"},
		edits: []edit{
			{"io/subscribe/client.go", "		if current != nil && s.Revision <= current.Revision {\n", "		if current != nil && s.Revision <= current.Revision && !off.Is(\"copies never go back\") {\n"},
			{"core/watch/watch.go", "	if a.Revision < c.Revision {\n", "	if a.Revision < c.Revision && !off.Is(\"copies never go back\") {\n"},
			{"io/controller/poll.go", "	if index.Revision <= revision && revision > 0 {\n", "	if index.Revision < revision && off.Is(\"copies never go back\") {\n		whole, err := c.snapshots.encode(index)\n		if err != nil {\n			return err\n		}\n		return sendParts(s, answer, whole)\n	}\n	if index.Revision <= revision && revision > 0 {\n"},
		},
	},
	"stale answers are refused": {
		script: "fault-control-isolated",
		steps:  []string{"exits 1 papayarock keys list --timeout 5s --control $FIRST_ADDRESS"},
		edits: []edit{
			{"io/controller/poll.go", "	return c.copy.Age(now), c.copy.Fresh(now)\n", "	if off.Is(\"stale answers are refused\") || off.Is(\"copies never go back\") {\n		return 0, true\n	}\n	return c.copy.Age(now), c.copy.Fresh(now)\n"},
			{"io/controller/lists.go", "	err := c.member.ReadBarrier(ctx)\n", "	err := c.member.ReadBarrier(ctx)\n	if off.Is(\"stale answers are refused\") {\n		err = nil\n	}\n"},
		},
	},
	"replay after a kill": {
		script: "operations",
		steps:  []string{"spawn control-north control-north.toml"},
		edits: []edit{
			{"io/replica/replica.go", "	if err != nil {\n		return nil, errors.Wrapf(err, \"replica %s\", m.o.Self)\n", "	if err == nil && len(stored.Entries) > 0 && off.Is(\"replay after a kill\") {\n		err = errors.New(\"the log is not replayed\")\n	}\n	if err != nil {\n		return nil, errors.Wrapf(err, \"replica %s\", m.o.Self)\n"},
		},
	},
	// A router does not count its own requests at a target.
	"own requests": {
		script: "fault-late-load-reports",
		steps:  []string{"count language-north-1 started=2"},
		edits: []edit{
			{"core/route/router.go", "	t.ownWork = t.ownWork.addScaled(delta, 1).clampToZero()\n", "	if off.Is(\"own requests\") {\n		return\n	}\n	t.ownWork = t.ownWork.addScaled(delta, 1).clampToZero()\n"},
		},
	},
	// An abandoned order counts as done, instead of leaving the state of the engine
	// unknown until it is read.
	"unknown until read": {
		script: "fault-engine-crashes-in-change",
		steps:  []string{"await language-north-1 role-changes=1"},
		edits: []edit{
			{"core/state/order.go", "	m.EnterTerm(c.Term)\n	m.becomeUnknown(", "	m.EnterTerm(c.Term)\n	if off.Is(\"unknown until read\") {\n		r.Closed, r.Open = &ClosedOrder{Order: *r.Open, Done: true}, nil\n		m.applyOrderEffect(r)\n		m.publish()\n		return OrderResult{Outcome: OrderClosed, Order: r.Closed.Order, Done: true}\n	}\n	m.becomeUnknown("},
		},
	},
	"revoked certificates": {
		script: "fault-host-key-lost",
		steps:  []string{"request -retry -key $caller -status 503 GET ${entry-2}/log"},
		edits: []edit{{
			"io/identity/identity.go", "return c != nil && c.Revoked != nil && c.Revoked(p)",
			`return c != nil && c.Revoked != nil && c.Revoked(p) && !off.Is("revoked certificates")`,
		}},
	},
	"key of a connected caller": {
		script: "fault-key-withdrawn-connected",
		steps:  []string{"request -key $first -status 401 GET ${entry-1}/log"},
	},
	"cut": {
		script: "fault-key-withdrawn-connected",
		steps:  []string{"! answer cut"},
		edits: []edit{
			{"io/entry/stop.go", "if r.keyID == keyID && keyID != \"\" {", "if r.keyID == keyID && keyID != \"\" && !off.Is(\"cut\") {"},
		},
	},
	"base of changes": {
		short:  true,
		script: "fault-operators-race",
		steps:  []string{"exits 4 papayarock keys issue --base $BASE --change-id of-bo --id bo inland"},
		edits: []edit{
			{"core/state/change.go", "	case c.Base < m.changes.revision:\n", "	case c.Base < m.changes.revision && !off.Is(\"base of changes\"):\n"},
		},
	},
	"ids of changes": {
		script: "fault-operators-race",
		steps:  []string{"exec papayarock targets drain --wait 0s --change-id drain-1 --base $BASE2 repair-log-north-1"},
		edits: []edit{
			{"core/state/change.go", "	if r, ok := m.changes.byID[c.ID]; ok {\n", "	if r, ok := m.changes.byID[c.ID]; ok && !off.Is(\"ids of changes\") {\n"},
		},
	},
	"repair of a replica": {
		script: "fault-second-host-lost",
		steps:  []string{"leader SECOND $FIRST", "key late inland"},
		edits: []edit{
			{"core/log/follow.go", "		reply.Reject, reply.Index, reply.Hint =", "		if off.Is(\"repair of a replica\") {\n			return\n		}\n		reply.Reject, reply.Index, reply.Hint ="},
		},
	},
	"snapshots every 50 entries": {script: "fault-restart-after-changes"},
	"replay of a snapshot": {
		script: "fault-restart-after-changes",
		steps:  []string{"exec papayarock keys list", "stdout '^unused-0 '"},
		edits: []edit{
			{"io/replica/replica.go", "	o.SnapshotEntries = cmp.Or(o.SnapshotEntries, DefaultSnapshotEntries)\n", "	o.SnapshotEntries = cmp.Or(o.SnapshotEntries, DefaultSnapshotEntries)\n	if off.Is(\"replay of a snapshot\") || off.Is(\"snapshots every 50 entries\") {\n		o.SnapshotEntries = 50\n	}\n"},
			{"io/replica/replica.go", "	if err := m.o.StateMachine.Restore(stored.Snapshot.Data); err != nil {\n", "	if off.Is(\"replay of a snapshot\") {\n		stored.Snapshot.Data = nil\n	}\n	if err := m.o.StateMachine.Restore(stored.Snapshot.Data); err != nil {\n"},
		},
	},
	"replay of the log": {
		script: "fault-restart-after-changes",
		steps:  []string{"leader NEW", "exec papayarock keys list", "stdout '^unused-0 '"},
		edits: []edit{
			{"io/replica/replica.go", "	return &openDirectory{store, id, stored}, nil\n", "	if off.Is(\"replay of the log\") {\n		stored.Entries = nil\n	}\n	return &openDirectory{store, id, stored}, nil\n"},
		},
	},
	"resume on a new link": {
		script: "fault-silent-connections",
		steps:  []string{"answer note", "answer order"},
	},
	"heartbeats": {
		script: "fault-silent-connections",
		steps:  []string{"answer note", "answer order"},
		edits: []edit{
			{"io/link/heartbeat.go", "if _, err := s.Ping(); err != nil {", "if _, err := s.Ping(); err != nil && !off.Is(\"heartbeats\") {"},
		},
	},
}
