package config

import (
	"encoding/base64"
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// Rule validates a value. It returns an error message, or "" if the value is valid.
type Rule func(value string) string

// NotEmpty rejects the empty string.
func NotEmpty(value string) string {
	if value == "" {
		return "must not be empty"
	}
	return ""
}

// OneOf accepts only the listed values.
func OneOf(values ...string) Rule {
	return func(value string) string {
		if slices.Contains(values, value) {
			return ""
		}
		return fmt.Sprintf("must be one of %s, is %q", strings.Join(values, ", "), value)
	}
}

// Address accepts IP:port with a port from 1 to 65535.
func Address(value string) string {
	if a, err := netip.ParseAddrPort(value); err != nil || a.Port() == 0 {
		return fmt.Sprintf("must be an address like \"10.0.0.7:7000\", is %q", value)
	}
	return ""
}

// Base64 accepts the standard base64 encoding of n bytes.
func Base64(n int) Rule {
	return func(value string) string {
		if b, err := base64.StdEncoding.DecodeString(value); err != nil || len(b) != n {
			return fmt.Sprintf("must be the base64 of %d bytes, is %q", n, value)
		}
		return ""
	}
}
