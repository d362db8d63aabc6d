package policyworker

import (
	"time"

	"github.com/valyala/fastjson"

	"crosstide/internal/errs"
)

// program is the payload of a run on a stand-in worker: {"ms":100,"ok":true}.
type program struct {
	duration time.Duration // negative: until it is stopped
	succeeds bool
}

const maxDurationMS = int64(365 * 24 * time.Hour / time.Millisecond)

// parseProgram parses a program; missing fields default to {"ms":0,"ok":true}. Failure: Malformed.
func parseProgram(raw []byte) (program, error) {
	p := program{succeeds: true}
	if len(raw) == 0 {
		return p, nil
	}
	v, err := fastjson.ParseBytes(raw)
	if err != nil {
		return p, errs.Wrap(err, errs.Malformed, "the run is not valid JSON")
	}
	if v.Type() != fastjson.TypeObject {
		return p, errs.New(errs.Malformed, "the run must be a JSON object")
	}
	if ms := v.Get("ms"); ms != nil {
		n, err := ms.Int64()
		if err != nil || n > maxDurationMS {
			return p, errs.New(errs.Malformed, "ms of the run must be an integer of at most one year")
		}
		p.duration = time.Duration(max(n, -1)) * time.Millisecond
	}
	if ok := v.Get("ok"); ok != nil {
		if p.succeeds, err = ok.Bool(); err != nil {
			return p, errs.New(errs.Malformed, "ok of the run must be true or false")
		}
	}
	return p, nil
}
