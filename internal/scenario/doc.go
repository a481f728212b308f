// Package scenario runs scripts against processes of papayarock and the fakes
// around them. The scripts are testscript files; see
// github.com/rogpeppe/go-internal/testscript for their form and its own
// commands. The test that calls Run provides the command papayarock, which
// scripts start with exec.
//
// Fakes, proxies and processes run on loopback addresses and end with the
// script: fakes, proxies and started processes inside the test, where the race
// detector sees them; spawned processes on their own, so that they can be
// killed and paused. The commands are:
//
//	ports NAME...              set each variable to a free loopback address with port
//	digest NAME SECRET         set a variable to the SHA-256 of a key
//	expand FILE...             replace $NAME in files by the variables of the script
//	fake KIND NAME [F=V...]    serve an engine, service, platform or weights; set $NAME to its URL
//	fault NAME F=V...          set faults of a fake or proxy
//	crash NAME, recover NAME   crash an engine, bring it back
//	count NAME F=V...          assert the counts of a fake
//	await NAME F=V...          wait until the counts of a fake are reached
//	proxy NAME TARGET          forward to an address; set $NAME to the proxy's address
//	hold-open NAME, drop NAME  make the open connections of a proxy silent, close them
//	start NAME SETTINGS        run a process inside the test
//	spawn NAME SETTINGS        run a process of its own
//	shutdown NAME              shut a process down gracefully
//	restart NAME               shut a process down gracefully, start it again
//	signal NAME SIG            send KILL, STOP or CONT to a spawned process
//	request [-key K] [-header H:V] [-status N] [-retry] METHOD URL [BODY | @FILE]
//	                           send a request; the answer goes to stdout; with
//	                           -retry until it has the status
//	log NAME                   print the log of a process, all its runs, to stdout
//	control NAME               run a control replica inside the test; set $NAME to
//	                           its operator address, which speaks plain HTTP
//	keep NAME EXPRESSION FILE  set a variable to the group of an expression in a file
//	until EXPRESSION COMMAND...
//	                           repeat a command until its output matches
//	exits CODE COMMAND...      run a command and assert its exit code
//
// One script can run a whole deployment inside the test: three control replicas,
// entries, and an agent with a stand-in for each target of the answers. Its
// hosts are control-N, entry-N and host-TARGET; $entry-N is the URL of an entry,
// $control-N the operator address of a replica.
// The stand-ins go by the names of their targets, by "services" and "engines"
// for all of a kind, and by "platform"; link-TARGET is the proxy before an
// agent. PAPAYAROCK_OPERATOR is set, so that "exec papayarock" reaches control.
// The commands are:
//
//	deploy [-certificates] [-entries N] ANSWERS
//	                           start it; returns when all targets are ready
//	key NAME CUSTOMER          issue the key NAME, set $NAME to it
//	keys N CUSTOMER            issue N keys that nobody uses
//	leader NAME [NOT]          wait for a leader, not the host NOT; set $NAME to it
//	phase TARGET PHASE...      wait until a target is in one of the phases
//	role TARGET ROLE...        wait until control knows an engine in one of the roles
//	shutdown HOST, again HOST, restart HOST
//	                           end a process gracefully, start it again, both
//	ordered TARGET             wait until control has an order open for a target
//	isolate HOST [FROM...]     make all links of a control replica silent, or those
//	                           that other replicas, or "nodes", opened to it
//	rejoin HOST                let all links of a control replica pass again
//	pause DURATION             let a fault last
//	mark NAME FIELD VARIABLE   set a variable to a count
//	completion NAME TOKENS PROMPT
//	                           set a variable to the text an engine answers with
//	lose-answer NAME BODY      run the next request with a body without an answer
//	seen NAME HEADER [VALUE]   assert that a stand-in was sent a header
//	send NAME ARGS             send a request in the background
//	answer NAME                wait for its answer, judge it as request does
//	log deployment             print the log of all processes to stdout
//
// Fields F are the fields of the fake, its faults and its counts in kebab
// case. "! start" and "! spawn" assert that a process does not start, "! request" that an
// answer is cut off or the connection refused, "! count" that counts differ.
package scenario
