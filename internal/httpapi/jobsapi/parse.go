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

// maxReportedErrors is how many mistakes of a body are told at once.
const maxReportedErrors = 20

var nameForm = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

const nameRule = "must be 1 to 128 of A-Z a-z 0-9 . _ : -"

// checkName allows what may name a job, a queue, a service, a worker, a zone, a rack or a label.
func checkName(value string) string {
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
	var validationErrs config.ValidationErrors
	if errors.As(err, &validationErrs) {
		return errs.Pass(refusal(validationErrs), "body")
	}
	return errs.Pass(err, "body")
}

func refusal(validationErrs config.ValidationErrors) error {
	first := validationErrs[0]
	messages := []string{first.Message}
	for _, one := range validationErrs[1:min(len(validationErrs), maxReportedErrors)] {
		messages = append(messages, one.Field+": "+one.Message)
	}
	if more := len(validationErrs) - len(messages); more > 0 {
		messages = append(messages, "and "+strconv.Itoa(more)+" more")
	}
	return errs.Field(errs.Invalid, first.Field, "%s", strings.Join(messages, "; "))
}
