// Package hostile holds clients that keep to no limit of the protocol: they send heads and bodies without end, requests
// ahead whose answers they don't read, and open connections that they never use. Tests start a group of such clients at
// one port of a running process. The package judges nothing.
//
// A Kind is one way to misbehave. Start starts a number of clients that misbehave in that way at a Target; their
// connections stay open until Clients.Close.
package hostile
