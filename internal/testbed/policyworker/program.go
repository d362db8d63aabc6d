package policyworker

import (
	"time"

	"github.com/valyala/fastjson"

	"crosstide/internal/errs"
)

// program is a task's run as the stand-in takes it: {"ms":100,"ok":true}.
type program struct {
	duration time.Duration // below 0: a standing run
	succeeds bool
}

const maxDurationMS = int64(365 * 24 * time.Hour / time.Millisecond)

// parseProgram reads a run; what is missing is {"ms":0,"ok":true}. Faults: Malformed.
func parseProgram(raw []byte) (program, error) {
	s := program{succeeds: true}
	if len(raw) == 0 {
		return s, nil
	}
	v, err := fastjson.ParseBytes(raw)
	if err != nil {
		return s, errs.Wrap(err, errs.Malformed, "the run is no JSON")
	}
	if v.Type() != fastjson.TypeObject {
		return s, errs.New(errs.Malformed, "the run is no object")
	}
	if ms := v.Get("ms"); ms != nil {
		n, err := ms.Int64()
		if err != nil || n > maxDurationMS {
			return s, errs.New(errs.Malformed, "ms of the run is no whole number up to a year")
		}
		s.duration = time.Duration(max(n, -1)) * time.Millisecond
	}
	if ok := v.Get("ok"); ok != nil {
		if s.succeeds, err = ok.Bool(); err != nil {
			return s, errs.New(errs.Malformed, "ok of the run is neither true nor false")
		}
	}
	return s, nil
}
