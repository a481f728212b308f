// Package catalog defines the configuration document of gateways: routes by
// host name and path prefix, the pools that serve them, customers and their
// keys, and limits on requests.
//
// A document is replaced as a whole, under a version number chosen by the
// operator. Validate checks a document; NewIndex prepares a valid document for
// lookups.
package catalog
