package config

import (
	"fmt"
	"strings"
)

// ValidationError describes an invalid value in a settings file. Field is its path, such as members[2].addr, or "" for
// the whole file.
type ValidationError struct{ Field, Message string }

// ValidationErrors lists all invalid values of a file in the order in which they were found.
type ValidationErrors []ValidationError

// Error returns one line "field: message" per error.
func (v ValidationErrors) Error() string {
	lines := make([]string, len(v))
	for i, invalid := range v {
		lines[i] = strings.TrimPrefix(invalid.Field+": "+invalid.Message, ": ")
	}
	return strings.Join(lines, "\n")
}

// orNil returns v as an error, or nil if v is empty. An error that holds a nil slice would not equal nil.
func (v ValidationErrors) orNil() error {
	if len(v) == 0 {
		return nil
	}
	return v
}

// count returns the number of errors with its noun, for messages.
func (v ValidationErrors) count() string {
	if len(v) == 1 {
		return "1 mistake"
	}
	return fmt.Sprintf("%d mistakes", len(v))
}
