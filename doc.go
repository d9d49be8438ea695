// Package ebonyworks defines the domain types and interfaces of a query tier
// over sharded stock catalogues.
//
// The packages below this one implement the interfaces. The packages below
// coordination can be embedded in other programs: they open no sockets and read
// the time only from package time.
package ebonyworks
