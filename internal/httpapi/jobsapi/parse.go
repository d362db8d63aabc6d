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

// maxReportedErrors is the maximum number of validation errors that the message of one error lists.
const maxReportedErrors = 20

var nameForm = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

const nameRule = "must be 1 to 128 of A-Z a-z 0-9 . _ : -"

// checkName returns nameRule if value is not a valid name of a job, queue, service, worker, zone, rack or label, else
// the empty string.
func checkName(value string) string {
	if nameForm.MatchString(value) {
		return ""
	}
	return nameRule
}

// parse calls read with a reader of body. It fails with errs.Malformed if body is not valid JSON, and with errs.Invalid
// if a field is rejected: the error has the field of the first validation error, and its message lists the others too.
func parse(body []byte, read func(r *config.Reader)) error {
	var parser fastjson.Parser
	if _, err := rpc.ParseJSON(&parser, body); err != nil {
		return errs.Pass(err, "body")
	}
	err := config.Parse(body, read)
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
	if omitted := len(validationErrs) - len(messages); omitted > 0 {
		messages = append(messages, "and "+strconv.Itoa(omitted)+" more")
	}
	return errs.Field(errs.Invalid, first.Field, "%s", strings.Join(messages, "; "))
}
