// Package jobsapi is the product's own interface to the jobs of internal/jobs, as JSON over HTTP/1.1: the clients' calls
// of a front node, and the operators' calls and the workers' heartbeats of a core node. What it reads it reads strictly:
// an unknown field, a wrong type or a value out of its range is refused with the field's name.
package jobsapi

import (
	"errors"
	"regexp"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/rpc"
)

// maxTold is how many mistakes of a body are told at once.
const maxTold = 20

var nameForm = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

const nameRule = "must be 1 to 128 of A-Z a-z 0-9 . _ : -"

// name allows what may name a job, a queue, a service, a worker, a zone, a rack or a label.
func name(value string) string {
	if nameForm.MatchString(value) {
		return ""
	}
	return nameRule
}

// parse reads a body by into. Failures: Malformed: no JSON; Invalid: a field is refused. The failure has the first
// mistake's field, its message tells the others too.
func parse(body []byte, into func(r *config.Reader)) error {
	var parser fastjson.Parser
	if _, err := rpc.ParseJSON(&parser, body); err != nil {
		return errs.Pass(err, "body")
	}
	err := config.Parse(body, into)
	var mistakes config.Mistakes
	if errors.As(err, &mistakes) {
		return errs.Pass(refusal(mistakes), "body")
	}
	return errs.Pass(err, "body")
}

func refusal(mistakes config.Mistakes) error {
	first := mistakes[0]
	told := []string{first.Message}
	for _, one := range mistakes[1:min(len(mistakes), maxTold)] {
		told = append(told, one.Field+": "+one.Message)
	}
	if more := len(mistakes) - len(told); more > 0 {
		told = append(told, "and "+strconv.Itoa(more)+" more")
	}
	return errs.Field(errs.Invalid, first.Field, "%s", strings.Join(told, "; "))
}
