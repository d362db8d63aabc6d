package policyworker

import (
	"time"

	"github.com/valyala/fastjson"

	"crosstide/internal/errs"
)

// program is what a run does on a stand-in worker: {"ms":100,"ok":true}.
type program struct {
	duration time.Duration // below 0: until it is stopped
	succeeds bool
}

const maxDurationMS = int64(365 * 24 * time.Hour / time.Millisecond)

// parseProgram reads a program; what is missing is {"ms":0,"ok":true}. Failure: Malformed.
func parseProgram(raw []byte) (program, error) {
	p := program{succeeds: true}
	if len(raw) == 0 {
		return p, nil
	}
	v, err := fastjson.ParseBytes(raw)
	if err != nil {
		return p, errs.Wrap(err, errs.Malformed, "the run is no JSON")
	}
	if v.Type() != fastjson.TypeObject {
		return p, errs.New(errs.Malformed, "the run is no object")
	}
	if ms := v.Get("ms"); ms != nil {
		n, err := ms.Int64()
		if err != nil || n > maxDurationMS {
			return p, errs.New(errs.Malformed, "ms of the run is no whole number up to a year")
		}
		p.duration = time.Duration(max(n, -1)) * time.Millisecond
	}
	if ok := v.Get("ok"); ok != nil {
		if p.succeeds, err = ok.Bool(); err != nil {
			return p, errs.New(errs.Malformed, "ok of the run is neither true nor false")
		}
	}
	return p, nil
}
