package state

import (
	"testing"
	"time"
)

func TestBackoff_After(t *testing.T) {
	b := Backoff{Min: 200 * time.Millisecond, Max: 30 * time.Second}
	tiny := Backoff{Min: time.Nanosecond, Max: time.Hour}
	for _, c := range []struct {
		backoff  Backoff
		failures int
		want     time.Duration
	}{
		{b, 1, 200 * time.Millisecond},
		{b, 2, 400 * time.Millisecond},
		{b, 8, 25600 * time.Millisecond},
		{b, 9, 30 * time.Second},
		{b, 1000, 30 * time.Second},
		{tiny, 15, 16384 * time.Nanosecond},
		{tiny, 16, time.Hour}, // from here on no shift, whatever Min is
		{Backoff{Min: 24 * time.Hour, Max: 24 * time.Hour}, 15, 24 * time.Hour},
	} {
		if got := c.backoff.After(c.failures); got != c.want {
			t.Errorf("%+v after %d failures: %s, want %s", c.backoff, c.failures, got, c.want)
		}
	}
}
