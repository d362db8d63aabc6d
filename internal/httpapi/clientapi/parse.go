package clientapi

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"unicode/utf8"

	"github.com/valyala/fastjson"

	"crosstide/internal/errs"
	"crosstide/internal/state"
)

// Bounds of a job.
const (
	MaxSteps            = 100
	MaxTasks            = 10_000 // of a step
	MaxJobTasks         = 20_000
	MaxCores            = 4096 // of a task
	MaxGPUs             = 1024 // of a task
	MaxRetries          = 100
	MaxLabels           = 32
	MaxGangTasks        = 64       // tasks of a step that start together
	MaxRunBytes         = 64 << 10 // bytes of `run`, without white space
	maxValidationErrors = 20       // listed in one error
)

// Defaults of a job.
const (
	DefaultQueue   = "default"
	DefaultTasks   = 1
	DefaultCores   = 1
	DefaultRetries = 3
)

// nameForm matches valid keys, teams, queues, names, types and labels.
var nameForm = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

const nameRule = "must be 1 to 128 of A-Z a-z 0-9 . _ : -"

// Parse parses the body of POST /v1/jobs, at most MaxBody bytes. It returns the validated Spec, with defaults for
// omitted fields, and its digest: SHA-256 in hex of the Spec's JSON, which does not depend on the order of the fields
// or on white space. A body that is not valid JSON is errs.Malformed with line and column. Any other error has the
// field and the kind of the first validation error (errs.Malformed for a wrong type, errs.Invalid for a value that is
// not allowed), and its message lists up to 20 of them. Example:
//
//	body := `{"key":"k-1","team":"depot","steps":[{"name":"scan","type":"scan"}]}`
//	spec, digest, err := clientapi.Parse([]byte(body))
func Parse(data []byte) (state.Spec, string, error) {
	if !utf8.Valid(data) {
		return state.Spec{}, "", errs.New(errs.Malformed, "the body is not UTF-8")
	}
	var parser fastjson.Parser
	v, err := parser.ParseBytes(data) // bounds the nesting at fastjson.MaxDepth
	if err == nil {
		err = fastjson.ValidateBytes(data) // rejects what the parser accepts: NaN, bad escapes
	}
	if err != nil {
		return state.Spec{}, "", errs.New(errs.Malformed, "%s", syntaxErrorAt(data, err))
	}
	r := &reader{}
	spec := r.spec(v)
	if err := r.failure(); err != nil {
		return state.Spec{}, "", errs.Pass(err, "job")
	}
	canonical, err := json.Marshal(spec)
	if err != nil {
		return state.Spec{}, "", errs.Wrap(err, errs.Internal, "encode job %s", spec.Key)
	}
	sum := sha256.Sum256(canonical)
	return spec, hex.EncodeToString(sum[:]), nil
}

// syntaxErrorAt returns a message with the line and column at which data is not valid JSON.
func syntaxErrorAt(data []byte, cause error) string {
	var raw json.RawMessage
	var syntax *json.SyntaxError
	if !errors.As(json.Unmarshal(data, &raw), &syntax) {
		return cause.Error()
	}
	at := min(max(int(syntax.Offset)-1, 0), len(data))
	line := 1 + bytes.Count(data[:at], []byte{'\n'})
	column := at - bytes.LastIndexByte(data[:at], '\n')
	return fmt.Sprintf("invalid JSON at line %d, column %d: %s", line, column, syntax.Error())
}

// reader reads a job and collects its validation errors; failure returns them as one error.
type reader struct {
	kind             errs.Kind // of the first error
	field            string    // of the first error
	validationErrors []string
	skipped          int // errors beyond maxValidationErrors, which are counted but not listed
}

// reject records a validation error at a field.
func (r *reader) reject(kind errs.Kind, field, format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	switch {
	case len(r.validationErrors) == 0:
		r.kind, r.field = kind, field
		r.validationErrors = append(r.validationErrors, message)
	case len(r.validationErrors) < maxValidationErrors:
		r.validationErrors = append(r.validationErrors, field+": "+message)
	default:
		r.skipped++
	}
}

// failure returns one error for all validation errors, with the kind and field of the first, or nil.
func (r *reader) failure() error {
	if len(r.validationErrors) == 0 {
		return nil
	}
	message := strings.Join(r.validationErrors, "; ")
	if r.skipped > 0 {
		message += fmt.Sprintf("; and %d more", r.skipped)
	}
	return errs.Field(r.kind, r.field, "%s", message)
}

func (r *reader) spec(v *fastjson.Value) state.Spec {
	spec := state.Spec{Queue: DefaultQueue}
	var steps []*fastjson.Value
	tasks := 0
	r.object("", v, map[string]fieldReader{
		"key":   func(f string, v *fastjson.Value) { spec.Key = r.name(f, v) },
		"team":  func(f string, v *fastjson.Value) { spec.Team = r.name(f, v) },
		"queue": func(f string, v *fastjson.Value) { spec.Queue = r.name(f, v) },
		"steps": func(f string, v *fastjson.Value) { steps = r.array(f, v, 1, MaxSteps) },
	}, "key", "team", "steps")
	for i, v := range steps {
		step := r.step(fmt.Sprintf("steps[%d]", i), v)
		tasks += step.Tasks
		spec.Steps = append(spec.Steps, step)
	}
	if tasks > MaxJobTasks {
		r.reject(errs.Invalid, "steps", "must have at most %d tasks in total, has %d", MaxJobTasks, tasks)
	}
	r.checkSteps(spec.Steps)
	return spec
}

func (r *reader) step(path string, v *fastjson.Value) state.StepSpec {
	s := state.StepSpec{Tasks: DefaultTasks, Cores: DefaultCores, Retries: DefaultRetries}
	r.object(path, v, map[string]fieldReader{
		"name":     func(f string, v *fastjson.Value) { s.Name = r.name(f, v) },
		"type":     func(f string, v *fastjson.Value) { s.Type = r.name(f, v) },
		"after":    func(f string, v *fastjson.Value) { s.After = r.names(f, v) },
		"tasks":    func(f string, v *fastjson.Value) { s.Tasks = r.number(f, v, 1, MaxTasks) },
		"cores":    func(f string, v *fastjson.Value) { s.Cores = r.number(f, v, 1, MaxCores) },
		"gpus":     func(f string, v *fastjson.Value) { s.GPUs = r.number(f, v, 0, MaxGPUs) },
		"labels":   func(f string, v *fastjson.Value) { s.Labels = r.labels(f, v) },
		"retries":  func(f string, v *fastjson.Value) { s.Retries = r.number(f, v, 0, MaxRetries) },
		"run":      func(f string, v *fastjson.Value) { s.Run = r.run(f, v) },
		"standing": func(f string, v *fastjson.Value) { s.LongRunning = r.boolean(f, v) },
		"gang":     func(f string, v *fastjson.Value) { s.Gang = r.boolean(f, v) },
	}, "name", "type")
	if s.Gang && s.Tasks > MaxGangTasks {
		r.reject(errs.Invalid, path+".gang", "must have at most %d tasks, has %d", MaxGangTasks, s.Tasks)
	}
	return s
}
