// Package scenario runs end-to-end test scripts against papayarock processes and
// fakes of the systems around them. The scripts are testscript files; see
// github.com/rogpeppe/go-internal/testscript for their format and built-in
// commands. The test that calls Run provides the command papayarock, which
// scripts run with exec.
//
// Fakes, proxies and processes listen on loopback addresses and are stopped at
// the end of the script. Fakes, proxies and started processes run inside the
// test process, where the race detector covers them. Spawned processes are
// operating system processes, so that they can be killed and paused. The
// commands are:
//
//	ports NAME...              set each variable to a free loopback HOST:PORT
//	digest NAME SECRET         set a variable to the hex SHA-256 of a key
//	expand FILE...             expand $NAME in files from the script's variables
//	fake KIND NAME [F=V...]    start a fake engine, service, platform or weights; set $NAME to its URL
//	fault NAME F=V...          set the faults of a fake or proxy
//	crash NAME, recover NAME   crash an engine, restart it
//	count NAME F=V...          assert the counters of a fake
//	await NAME F=V...          wait until the counters of a fake have these values
//	proxy NAME TARGET          start a TCP proxy; set $NAME to its address
//	hold-open NAME, drop NAME  stop forwarding on the open connections of a proxy, close them
//	start NAME SETTINGS        run a process inside the test process
//	spawn NAME SETTINGS        run a separate process
//	shutdown NAME              shut a process down gracefully
//	restart NAME               shut a process down gracefully and start it again
//	signal NAME SIG            send KILL, STOP or CONT to a spawned process
//	request [-key K] [-header H:V] [-status N] [-retry] METHOD URL [BODY | @FILE]
//	                           send a request and write the response body to
//	                           stdout; with -retry until the status matches
//	log NAME                   print the log of a process, over all its runs, to stdout
//	control NAME               run a control replica inside the test process; set
//	                           $NAME to its operator address, which serves plain HTTP
//	keep NAME EXPRESSION FILE  set a variable to the first group of a regular
//	                           expression matched in a file
//	until EXPRESSION COMMAND...
//	                           repeat a command until its stdout matches
//	exits CODE COMMAND...      run a command and assert its exit code
//
// A script can run a whole deployment inside the test process: three control
// replicas, entries, and an agent with a fake for each target in the answers
// file. Its hosts are control-N, entry-N and host-TARGET; $entry-N is the URL of
// an entry, $control-N the operator address of a replica. Fakes are addressed by
// the name of their target, by "services" and "engines" for all of a kind, and
// by "platform"; link-TARGET is the proxy in front of an agent.
// PAPAYAROCK_OPERATOR is set, so that "exec papayarock" reaches control. The
// commands are:
//
//	deploy [-certificates] [-entries N] ANSWERS
//	                           start it and wait until all targets are ready
//	key NAME CUSTOMER          issue the API key NAME, set $NAME to its secret
//	keys N CUSTOMER            issue N keys that no request uses
//	leader NAME [NOT]          wait for a leader other than the host NOT; set $NAME
//	                           to its host and $NAME_ADDRESS to its operator address
//	phase TARGET PHASE...      wait until a target is in one of the phases
//	role TARGET ROLE...        wait until control reports one of the roles for an engine
//	shutdown HOST, again HOST, restart HOST
//	                           shut a process down gracefully, start it again, both
//	ordered TARGET             wait until control has an open order for a target
//	isolate HOST [FROM...]     stop forwarding on all links of a control replica, or on
//	                           those that other replicas, or "nodes", opened to it
//	rejoin HOST                forward on all links of a control replica again
//	pause DURATION             sleep, while a fault lasts
//	mark NAME FIELD VARIABLE   set a variable to the value of a counter
//	completion NAME TOKENS PROMPT
//	                           set a variable to the text that an engine generates
//	lose-answer NAME BODY      process the next request with this body and drop its
//	                           response
//	seen NAME HEADER [VALUE]   assert that a fake received a header
//	send NAME ARGS             send a request in the background
//	answer NAME                wait for its response and check it as request does
//	log deployment             print the log of all processes to stdout
//
// Fields F are the fields of the fake, its faults and its counters in kebab case.
// "! start" and "! spawn" assert that a process does not start, "! request" that
// the connection fails or the response is truncated, "! count" that the counters
// differ.
package scenario
