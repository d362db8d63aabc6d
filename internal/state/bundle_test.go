package state

import (
	"testing"
	"time"
)

func TestBackoff_After(t *testing.T) {
	usual := Backoff{Min: 200 * time.Millisecond, Max: 30 * time.Second}
	tiny := Backoff{Min: time.Nanosecond, Max: time.Hour}
	for _, test := range []struct {
		backoff  Backoff
		failures int
		want     time.Duration
	}{
		{usual, 1, 200 * time.Millisecond},
		{usual, 2, 400 * time.Millisecond},
		{usual, 8, 25600 * time.Millisecond},
		{usual, 9, 30 * time.Second},
		{usual, 1000, 30 * time.Second},
		{tiny, 15, 16384 * time.Nanosecond},
		{tiny, 16, time.Hour}, // after more than 15 failures the delay is Max, whatever Min is
		{Backoff{Min: 24 * time.Hour, Max: 24 * time.Hour}, 15, 24 * time.Hour},
	} {
		if got := test.backoff.After(test.failures); got != test.want {
			t.Errorf("%+v after %d failures: %s, want %s", test.backoff, test.failures, got, test.want)
		}
	}
}
