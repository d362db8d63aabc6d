package config

import (
	"fmt"
	"strings"
)

// ValidationError is an invalid value in a settings file. Field is its path, such as members[2].addr; "" is the file.
type ValidationError struct{ Field, Message string }

// ValidationErrors are all invalid values of a file, in the order in which they were found.
type ValidationErrors []ValidationError

// Error returns a line "field: message" for each.
func (v ValidationErrors) Error() string {
	lines := make([]string, len(v))
	for i, invalid := range v {
		lines[i] = strings.TrimPrefix(invalid.Field+": "+invalid.Message, ": ")
	}
	return strings.Join(lines, "\n")
}

// orNil returns v as an error, or nil if it is empty: a nil slice in an error is not a nil error.
func (v ValidationErrors) orNil() error {
	if len(v) == 0 {
		return nil
	}
	return v
}

func (v ValidationErrors) count() string {
	if len(v) == 1 {
		return "1 mistake"
	}
	return fmt.Sprintf("%d mistakes", len(v))
}
