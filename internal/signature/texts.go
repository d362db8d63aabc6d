package signature

import (
	"fmt"
	"time"
)

// Bundle returns the text that two operators sign to put a version of the bundle in force. digest is the Digest of the
// version's bytes.
func Bundle(version uint64, digest string) string {
	return fmt.Sprintf("crosstide bundle\nversion %d\nsha256 %s\n", version, digest)
}

// BundlePut returns the text of an order that writes a new draft on top of the version base; digest is that of the
// draft.
func BundlePut(order string, base uint64, digest string) string {
	return fmt.Sprintf("crosstide put\norder %q\nbase %d\nsha256 %s\n", order, base, digest)
}

// BundlePatch returns the text of an order that writes a new draft by applying a merge patch to the version base;
// digest is that of the patch.
func BundlePatch(order string, base uint64, digest string) string {
	return fmt.Sprintf("crosstide patch\norder %q\nbase %d\nsha256 %s\n", order, base, digest)
}

// Evacuate returns the text of an order that evacuates a zone.
func Evacuate(order, zone string) string {
	return fmt.Sprintf("crosstide evacuate\norder %q\nzone %q\n", order, zone)
}

// Lift returns the text that two operators sign to end the evacuation of a zone that began at since.
func Lift(zone string, since time.Time) string {
	return fmt.Sprintf("crosstide lift\nzone %q\nsince %d\n", zone, since.UnixNano())
}

// AccountCreate returns the text of an order that creates a party's account.
func AccountCreate(order, account string, credit int64) string {
	return fmt.Sprintf("crosstide account create\norder %q\naccount %q\ncredit %d\n", order, account, credit)
}

// AccountTopUp returns the text of an order that tops up an account.
func AccountTopUp(key, account string, amount int64) string {
	return fmt.Sprintf("crosstide account top-up\nkey %q\naccount %q\namount %d\n", key, account, amount)
}

// JobParties returns the text of an order that sets the parties of the job table; digest is that of the parties.
func JobParties(order, digest string) string {
	return fmt.Sprintf("crosstide job parties\norder %q\nsha256 %s\n", order, digest)
}
