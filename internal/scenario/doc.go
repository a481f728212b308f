// Package scenario runs scripts against processes of papayarock and the fakes
// around them. The scripts are testscript files; see
// github.com/rogpeppe/go-internal/testscript for their form and its own
// commands. The test that calls Run provides the command papayarock, which
// scripts start with exec.
//
// Fakes and processes started by a script run inside the test process on
// loopback addresses and end with the script. The commands are:
//
//	ports NAME...              set each variable to a free loopback address with port
//	digest NAME SECRET         set a variable to the SHA-256 of a key
//	expand FILE...             replace $NAME in files by the variables of the script
//	fake KIND NAME [F=V...]    serve an engine, service, platform or weights; set $NAME to its URL
//	fault NAME F=V...          set faults of a fake
//	crash NAME, recover NAME   crash an engine, bring it back
//	count NAME F=V...          assert the counts of a fake
//	await NAME F=V...          wait until the counts of a fake are reached
//	start NAME SETTINGS        run a process until stop or the end of the script
//	stop NAME, restart NAME    shut a process down gracefully, start it again
//	request [-key K] [-header H:V] [-status N] METHOD URL [BODY | @FILE]
//	                           send a request; the answer goes to stdout
//	log NAME                   print the log of a process, all its runs, to stdout
//	exits CODE COMMAND...      run a command and assert its exit code
//
// Fields F are the fields of the fake, its faults and its counts in kebab
// case. "! start" asserts that a process does not start, "! request" that an
// answer is cut off or the connection refused, "! count" that counts differ.
package scenario
