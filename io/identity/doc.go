// Package identity is the certificate authority of a deployment. It issues
// host certificates that carry a host name and the roles of its processes, and
// builds TLS 1.3 configurations that check the role of the peer.
//
// Host and roles are URI names of the form papayarock://HOST/ROLE, one for
// each role. A certificate without such a name proves nothing and is refused.
package identity
