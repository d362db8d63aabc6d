package config

import (
	"fmt"
	"strings"
)

// ValidationError is one thing that is wrong in a settings file. Field is its path, such as members[2].addr.
type ValidationError struct{ Field, Message string }

// ValidationErrors is all that is wrong in one file, in the order in which it was found.
type ValidationErrors []ValidationError

// Error returns one line for each, "field: message".
func (v ValidationErrors) Error() string {
	lines := make([]string, len(v))
	for i, one := range v {
		lines[i] = strings.TrimPrefix(one.Field+": "+one.Message, ": ")
	}
	return strings.Join(lines, "\n")
}

// orNil is v as an error, nil if there are none.
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
