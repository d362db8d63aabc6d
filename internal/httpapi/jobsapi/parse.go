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

// maxReportedErrors is how many validation errors of a body are reported at once.
const maxReportedErrors = 20

var nameForm = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

const nameRule = "must be 1 to 128 of A-Z a-z 0-9 . _ : -"

// checkName returns what is wrong with the name of a job, queue, service, worker, zone, rack or label; "" if it is
// valid.
func checkName(value string) string {
	if nameForm.MatchString(value) {
		return ""
	}
	return nameRule
}

// parse calls into with a reader of body. The error is errs.Malformed if body is no JSON, errs.Invalid if a field is
// refused; it has the field of the first validation error, and its message names the others too.
func parse(body []byte, into func(r *config.Reader)) error {
	var parser fastjson.Parser
	if _, err := rpc.ParseJSON(&parser, body); err != nil {
		return errs.Pass(err, "body")
	}
	err := config.Parse(body, into)
	var validationErrs config.ValidationErrors
	if errors.As(err, &validationErrs) {
		return errs.Pass(rejectionOf(validationErrs), "body")
	}
	return errs.Pass(err, "body")
}

// rejectionOf joins the validation errors of a body into one error.
func rejectionOf(validationErrs config.ValidationErrors) error {
	first := validationErrs[0]
	messages := []string{first.Message}
	for _, further := range validationErrs[1:min(len(validationErrs), maxReportedErrors)] {
		messages = append(messages, further.Field+": "+further.Message)
	}
	if more := len(validationErrs) - len(messages); more > 0 {
		messages = append(messages, "and "+strconv.Itoa(more)+" more")
	}
	return errs.Field(errs.Invalid, first.Field, "%s", strings.Join(messages, "; "))
}
