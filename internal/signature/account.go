package signature

import "fmt"

// AccountCreate is the text of an order that opens a party's account.
func AccountCreate(order, account string, credit int64) string {
	return fmt.Sprintf("crosstide account create\norder %q\naccount %q\ncredit %d\n", order, account, credit)
}

// AccountTopUp is the text of a top-up of an account.
func AccountTopUp(key, account string, amount int64) string {
	return fmt.Sprintf("crosstide account top-up\nkey %q\naccount %q\namount %d\n", key, account, amount)
}

// JobParties is the text of an order that says who pays for which queues of the job table; digest is that of the parties.
func JobParties(order, digest string) string {
	return fmt.Sprintf("crosstide job parties\norder %q\nsha256 %s\n", order, digest)
}
