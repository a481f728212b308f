// Package identity implements the certificate authority of a deployment. It
// issues host certificates that contain a host name and the roles of its
// processes, and builds TLS 1.3 configurations that verify the role of the peer.
//
// Host and roles are encoded as URI subject alternative names of the form
// papayarock://HOST/ROLE, one for each role. A certificate without such a name is
// rejected.
package identity
