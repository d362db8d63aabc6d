// Package hostile holds clients that keep to no limit of the protocol: they send heads and bodies without end, requests
// ahead whose answers they don't read, and open connections that they never use. Tests let a crowd of them press on one
// port of a running process. The package judges nothing.
//
// A Kind is one way to misbehave. A Crowd lets a number of clients misbehave in that way at a Target; its connections
// stay open until Crowd.Close.
package hostile
