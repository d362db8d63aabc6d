package policyworker

import (
	"time"

	"github.com/valyala/fastjson"

	"crosstide/internal/errs"
)

// spec is a task's run as the stand-in takes it: {"ms":100,"ok":true}.
type spec struct {
	last time.Duration // below 0: a standing run
	well bool
}

const maxMS = int64(365 * 24 * time.Hour / time.Millisecond)

// parseSpec reads a run; what is missing is {"ms":0,"ok":true}. Faults: Malformed.
func parseSpec(raw []byte) (spec, error) {
	s := spec{well: true}
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
		if err != nil || n > maxMS {
			return s, errs.New(errs.Malformed, "ms of the run is no whole number up to a year")
		}
		s.last = time.Duration(max(n, -1)) * time.Millisecond
	}
	if ok := v.Get("ok"); ok != nil {
		if s.well, err = ok.Bool(); err != nil {
			return s, errs.New(errs.Malformed, "ok of the run is neither true nor false")
		}
	}
	return s, nil
}
