// Package account keeps the prepaid balances of parties: accounts, top-ups, reservations for runs, and for each account
// a ledger of its top-ups and draws. Both deployments use it.
//
// A run is paid for in windows. Its start reserves the price of the first window (Table.Reserve). When a window ends,
// its price is drawn and the next window reserved, even if the balance becomes negative (Table.Renew). When the run
// ends, the price of its run time is drawn and the rest of the window released (Table.Debit). If the run was lost, the
// open window is released in full (Table.Refund). For each account Balance + Reserved + Spent equals ToppedUp at any
// time, and the ledger adds up to the same amounts: a change that would violate this panics.
//
// Table is part of the replicated state: it is changed only by its methods, in the order of the log, and is the same on
// every node that applied the same entries. It reads no clock; every change carries its time. All amounts are in whole
// units. It has no lock; the owner of the enclosing state.State serializes all access.
//
// Entry point: Table (table.go), then Table.Reserve (reservation.go) and Table.Renew (renewal.go).
package account
