// Package ebonyworks holds the domain types, outcomes and interfaces of a
// query tier over sharded stock catalogues.
//
// Implementations of the interfaces live in the packages below this one. The
// coordination packages can be embedded by other programs: they use no
// sockets, and their only clock is the runtime's.
package ebonyworks
