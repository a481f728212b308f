// Package scenario runs end-to-end test scripts against papayarock processes and
// fakes of the systems around them. The scripts are testscript files; see
// github.com/rogpeppe/go-internal/testscript for their format and built-in
// commands. The test that calls Run provides the program papayarock, which scripts
// run with exec.
//
// A script can run a papayarock process in two ways: start runs it inside the test
// process, where the race detector covers it, and spawn runs it as an operating
// system process, which can be killed and paused. Fakes and proxies run inside the
// test process. All of them listen on loopback addresses and are stopped at the end
// of the script.
//
// A pair F=V sets or checks a field F, which is a field of a fake, its faults or
// its counters in kebab case. The commands are:
//
//	ports NAME...              set each variable to a free loopback HOST:PORT
//	digest NAME SECRET         set a variable to the hex SHA-256 of a key
//	expand FILE...             expand $NAME in files from the script's variables
//	fake KIND NAME [F=V...]    start a fake engine, service, platform or weight
//	                           store (weights); set $NAME to its URL
//	fault NAME F=V...          set the faults of a fake or proxy
//	crash NAME                 crash a fake engine
//	recover NAME               restart a crashed fake engine
//	count NAME F=V...          assert the counters of a fake
//	await NAME F=V...          wait until the counters of a fake have these values
//	mark FAKE F VARIABLE       set a variable to the value of a fake's counter
//	completion NAME TOKENS PROMPT
//	                           set a variable to the text that a fake engine generates
//	lose-answer NAME BODY      make a fake service process the next request with this
//	                           body and drop its response
//	seen NAME HEADER [VALUE]   assert that a fake received a request with a header
//	proxy NAME ADDRESS         start a TCP proxy to an address; set $NAME to its own
//	hold-open NAME             stop forwarding on the open connections of a proxy
//	drop NAME                  close the open connections of a proxy
//	start NAME SETTINGS        run a process inside the test process
//	spawn NAME SETTINGS        run a process as an operating system process
//	shutdown NAME              shut a process down gracefully
//	restart NAME               shut a process down gracefully and start it again
//	signal NAME SIG            send KILL, STOP or CONT to a spawned process
//	request [-key K] [-header H:V] [-status N] [-retry] METHOD URL [BODY | @FILE]
//	                           send a request and write the response body to
//	                           stdout; with -retry until the status matches
//	send NAME ARGS             send a request in the background; ARGS are those of
//	                           request
//	answer NAME                wait for its response and check it as request does
//	log NAME                   print the log of a process, over all its runs, to stdout
//	control NAME               run a control replica, the only voter of its cluster,
//	                           inside the test process; set $NAME to its operator
//	                           address, which serves plain HTTP
//	keep NAME EXPRESSION FILE  set a variable to the first group of a regular
//	                           expression matched in a file
//	until EXPRESSION COMMAND...
//	                           repeat a command until its stdout matches
//	exits CODE COMMAND...      run a command and assert its exit code
//	pause DURATION             sleep
//
// A script can run a whole deployment inside the test process: three control
// replicas, entries, and an agent with a fake for each target in the answers file,
// from which the configuration is generated. Its hosts are control-N, entry-N and
// host-TARGET; $entry-N is the URL of an entry, $control-N the operator address of
// a replica. Commands address a fake by the name of its target, all fakes of a kind
// as "services" or "engines", the fake platform as "platform", and the proxy in
// front of an agent as link-TARGET. PAPAYAROCK_OPERATOR is set, so that
// "exec papayarock" reaches control. The commands are:
//
//	deploy [-certificates] [-entries N] ANSWERS
//	                           start it and wait until all targets are ready
//	key NAME CUSTOMER          issue the API key NAME, set $NAME to its secret
//	keys N CUSTOMER            issue N keys that no request uses
//	leader NAME [NOT]          wait for a leader other than the host NOT; set $NAME
//	                           to its host and $NAME_ADDRESS to its operator address
//	phase TARGET PHASE...      wait until a target is in one of the phases
//	role TARGET ROLE...        wait until control reports one of the roles for an engine
//	ordered TARGET             wait until control has an open order for a target, one
//	                           that is not completed yet
//	shutdown HOST              shut the process of a host down gracefully
//	again HOST                 start it again
//	restart HOST               shut it down gracefully and start it again
//	isolate HOST [FROM...]     stop forwarding on all links of a control replica, or on
//	                           those that other replicas, or "nodes", opened to it;
//	                           "nodes" are all entries and agents
//	rejoin HOST                forward on all links of a control replica again
//	log deployment             print the log of all processes to stdout
//
// "! start" and "! spawn" assert that a process does not start, "! request" and
// "! answer" that the connection fails or the response is truncated, "! count" that
// the counters differ, "! seen" that no request had the header.
package scenario
