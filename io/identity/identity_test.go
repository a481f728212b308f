package identity_test

import (
	"crypto/tls"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"papayarock/core/fleet"
	"papayarock/io/identity"
)

func newAuthority(t *testing.T) *identity.Authority {
	t.Helper()
	now := time.Now()
	a, err := identity.NewAuthority(now, now.Add(time.Hour))
	is.New(t).NoErr(err)
	return a
}

func issue(t *testing.T, a *identity.Authority, host fleet.Host, roles ...identity.Role) *identity.Credentials {
	t.Helper()
	now := time.Now()
	c, err := a.Issue(host, roles, now, now.Add(time.Hour))
	is.New(t).NoErr(err)
	return c
}

// handshake returns the errors of both sides of a connection. It includes the first
// read, because only then a TLS 1.3 client learns that the server has rejected its
// certificate. It uses a socket, because writing an alert to a net.Pipe blocks
// until the alert is read.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer func() { _ = l.Close() }()
	done := make(chan error, 1)
	go func() {
		serverConn, err := l.Accept()
		if err != nil {
			done <- err
			return
		}
		defer func() { _ = serverConn.Close() }()
		s := tls.Server(serverConn, server)
		if err = s.Handshake(); err == nil {
			_, err = s.Write([]byte("x"))
		}
		done <- err
	}()
	clientConn, err := net.Dial("tcp", l.Addr().String())
	is.New(t).NoErr(err)
	c := tls.Client(clientConn, client)
	_, clientErr = c.Read(make([]byte, 1))
	_ = clientConn.Close()
	return <-done, clientErr
}

// A peer must not be accepted because one part of the verification is skipped: the
// certificate chain, its expiry, the host, the role or the revocation. Valid peers
// must be accepted.
func TestRejectsUnauthenticatedPeers(t *testing.T) {
	a := newAuthority(t)
	agent := issue(t, a, "a1", identity.Agent)
	entry := issue(t, a, "e1", identity.Entry)
	foreign := issue(t, newAuthority(t), "e1", identity.Entry)
	now := time.Now()
	expired, err := a.Issue("e1", []identity.Role{identity.Entry}, now.Add(-3*time.Hour), now.Add(-time.Hour))
	is.New(t).NoErr(err)
	server := identity.ServerConfig(agent, identity.Entry)
	revokingAgent := *agent
	revokingAgent.Revoked = func(p identity.Peer) bool { return p.Host == "e1" && p.Issued.Before(now.Add(time.Minute)) }
	reissued, err := a.Issue("e1", []identity.Role{identity.Entry}, now.Add(30*time.Minute), now.Add(time.Hour))
	is.New(t).NoErr(err)
	revokingEntry := *entry
	revokingEntry.Revoked = func(p identity.Peer) bool { return p.Host == "a1" }
	tests := map[string]struct {
		server, client *tls.Config
		ok             bool
	}{
		"allowed roles":          {server, identity.ClientConfig(entry, "a1", identity.Agent), true},
		"any host":               {server, identity.ClientConfig(entry, "", identity.Agent), true},
		"revoked":                {identity.ServerConfig(&revokingAgent, identity.Entry), identity.ClientConfig(entry, "a1", identity.Agent), false},
		"reissued certificate":   {identity.ServerConfig(&revokingAgent, identity.Entry), identity.ClientConfig(reissued, "a1", identity.Agent), true},
		"server revoked":         {server, identity.ClientConfig(&revokingEntry, "a1", identity.Agent), false},
		"no certificate":         {server, &tls.Config{InsecureSkipVerify: true}, false},
		"role not allowed":       {server, identity.ClientConfig(issue(t, a, "o1", identity.Operator), "a1", identity.Agent), false},
		"foreign authority":      {server, identity.ClientConfig(foreign, "a1", identity.Agent), false},
		"expired certificate":    {server, identity.ClientConfig(expired, "a1", identity.Agent), false},
		"server on other host":   {server, identity.ClientConfig(entry, "a2", identity.Agent), false},
		"server with other role": {server, identity.ClientConfig(entry, "a1", identity.Control), false},
		"server allows no role":  {identity.ServerConfig(agent), identity.ClientConfig(entry, "a1", identity.Agent), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, c := handshake(t, tt.server, tt.client)
			is.New(t).Equal(s == nil && c == nil, tt.ok) // handshake succeeded, want as in the table
		})
	}
}

// Saving and loading credentials must not change host, roles or time of issue, and
// saving a second authority must not overwrite the first, whose key would be lost.
func TestFiles(t *testing.T) {
	is := is.New(t)
	dir, host := t.TempDir(), t.TempDir()
	is.NoErr(newAuthority(t).Save(dir))
	a, err := identity.LoadAuthority(dir)
	is.NoErr(err)
	is.NoErr(issue(t, a, "e1", identity.Entry, identity.Agent).Save(host))
	c, err := identity.Load(host)
	is.NoErr(err)
	p, err := c.Peer()
	is.NoErr(err)
	is.Equal(p.Host, fleet.Host("e1"))
	is.Equal(p.Roles, []identity.Role{identity.Entry, identity.Agent})
	is.True(p.Issued.Before(time.Now()) && p.Issued.After(time.Now().Add(-time.Minute)))
	is.True(newAuthority(t).Save(dir) != nil) // second authority in the same directory
}

// No certificate may be issued for a host name that is parsed as a different one
// when it is read back from the URI, nor without a known role.
func TestRejectsInvalidNames(t *testing.T) {
	a := newAuthority(t)
	now := time.Now()
	for name, tt := range map[string]struct {
		host  fleet.Host
		roles []identity.Role
	}{
		"no host":      {"", []identity.Role{identity.Entry}},
		"slash":        {"a/b", []identity.Role{identity.Entry}},
		"no role":      {"a1", nil},
		"unknown role": {"a1", []identity.Role{"root"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := a.Issue(tt.host, tt.roles, now, now.Add(time.Hour))
			is.New(t).True(err != nil) // issue
		})
	}
}
