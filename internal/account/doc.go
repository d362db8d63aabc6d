// Package account keeps the prepaid balances of parties: accounts, top-ups, reservations for runs, and a ledger for
// each account of what was topped up and drawn. It serves both deployments.
//
// A run is paid for in windows. Its start reserves the first window (Table.Reserve); when a window is over, its price
// is drawn and the next one reserved, below zero if it must be (Table.Renew); at its end the time it ran is drawn and
// the rest of the window released (Table.Debit), or, if it was lost, the open window is released whole (Table.Refund).
// For each account Balance + Reserved + Spent equals ToppedUp at any time, and the ledger adds up to the same: a change
// that would break this panics.
//
// Table is part of the replicated state: it changes only by its methods, in the order of the log, and is the same on
// every node that applied the same entries. It reads no clock; every change carries its time. All amounts are in whole
// units. It has no lock; the owner of the state.State that it is part of serializes all access.
//
// Begin with Table (table.go), then Table.Reserve (reservation.go) and Table.Renew (renewal.go).
package account
