package bundle

import (
	"regexp"
	"slices"

	"crosstide/internal/config"
	"crosstide/internal/state"
)

// maxCount bounds counts. It catches typos, not unusual choices.
const maxCount = 1 << 30

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// validateName returns the error message for an invalid name, or "" if it is valid.
func validateName(value string) string {
	if namePattern.MatchString(value) {
		return ""
	}
	return "must be a name of 1 to 128 of A-Z a-z 0-9 . _ : -, is " + quoteShort(value)
}

// validateLabelValue returns the error message for an invalid label value, or "" if it is valid.
func validateLabelValue(value string) string {
	if value == "" || len(value) > 256 {
		return "must be 1 to 256 bytes, is " + quoteShort(value)
	}
	return ""
}

// quoteShort quotes a value for a message, truncated to 40 characters.
func quoteShort(value string) string {
	if r := []rune(value); len(r) > 40 {
		value = string(r[:40]) + "…"
	}
	return `"` + value + `"`
}

// checkName rejects a field with an invalid name.
func checkName(r *config.Reader, name string) {
	if invalid := validateName(name); invalid != "" {
		r.Reject(name, "%s", invalid)
	}
}

// readNames reads a list of names into target, sorted and without duplicates. An empty list is rejected: it would allow
// every name, but the operator may have meant to allow none.
func readNames(r *config.Reader, field string, target *[]string) {
	names := []string{""} // unchanged if the field is missing or rejected
	switch r.Strings(field, &names, validateName); {
	case len(names) == 0:
		r.Reject(field, "must not be empty; leave it out to allow any")
	case names[0] != "":
		slices.Sort(names)
		*target = slices.Compact(names)
	}
}

// readByName reads an object with one value per name. It returns nil if the object is missing or empty.
func readByName[T any](r *config.Reader, field string, read func(r *config.Reader, name string) T) map[string]T {
	var values map[string]T
	r.Object(field, func(r *config.Reader) {
		for _, name := range r.Names() {
			checkName(r, name)
			value := read(r, name)
			if values == nil {
				values = map[string]T{}
			}
			values[name] = value
		}
	})
	return values
}

func readLabels(r *config.Reader, field string) state.Labels {
	return readByName(r, field, func(r *config.Reader, name string) (value string) {
		r.String(name, &value, validateLabelValue)
		return value
	})
}

func readCounts(r *config.Reader, field string, minimum int) map[string]int {
	return readByName(r, field, func(r *config.Reader, name string) (n int) {
		r.Int(name, &n, minimum, maxCount)
		return n
	})
}

// readRetries reads the field retries. It returns nil if the field is missing.
func readRetries(r *config.Reader) *int {
	n := 0
	if r.Int("retries", &n, 0, maxCount); r.Has("retries") {
		return &n
	}
	return nil
}
