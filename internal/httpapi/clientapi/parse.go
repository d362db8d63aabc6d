package clientapi

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
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
	MaxGang             = 64       // tasks of a step that start together
	MaxRun              = 64 << 10 // bytes of `run`, without white space
	maxValidationErrors = 20       // mistakes reported at once
)

// What a job that does not say gets.
const (
	DefaultQueue   = "default"
	DefaultTasks   = 1
	DefaultCores   = 1
	DefaultRetries = 3
)

var nameForm = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

const nameRule = "must be 1 to 128 of A-Z a-z 0-9 . _ : -"

// Parse reads the body of POST /v1/jobs, at most MaxBody bytes, into a checked Spec with its defaults
// filled in, and its digest: SHA-256 in hex over the Spec's JSON, the same whatever the order of fields and the
// white space. Bytes that are no JSON are errs.Malformed with line and column. Otherwise the failure names the
// first mistake's field (errs.Malformed for a wrong type, errs.Invalid for a refused value) and its message
// lists up to 20 mistakes. Example:
//
//	spec, digest, err := clientapi.Parse([]byte(`{"key":"k-1","team":"depot","steps":[{"name":"scan","type":"scan"}]}`))
func Parse(data []byte) (state.Spec, string, error) {
	if !utf8.Valid(data) {
		return state.Spec{}, "", errs.New(errs.Malformed, "the body is not UTF-8")
	}
	var parser fastjson.Parser
	v, err := parser.ParseBytes(data) // bounds the nesting at fastjson.MaxDepth
	if err == nil {
		err = fastjson.ValidateBytes(data) // refuses what the parser lets pass: NaN, bad escapes
	}
	if err != nil {
		return state.Spec{}, "", errs.New(errs.Malformed, "%s", syntaxErrorAt(data, err))
	}
	p := &reader{}
	spec := p.spec(v)
	if err := p.failure(); err != nil {
		return state.Spec{}, "", errs.Pass(err, "job")
	}
	canon, err := json.Marshal(spec)
	if err != nil {
		return state.Spec{}, "", errs.Wrap(err, errs.Internal, "encode job %s", spec.Key)
	}
	sum := sha256.Sum256(canon)
	return spec, hex.EncodeToString(sum[:]), nil
}

// syntaxErrorAt reports where data stops being JSON.
func syntaxErrorAt(data []byte, cause error) string {
	var raw json.RawMessage
	var syntax *json.SyntaxError
	if !errors.As(json.Unmarshal(data, &raw), &syntax) {
		return cause.Error()
	}
	at := min(max(int(syntax.Offset)-1, 0), len(data))
	line := 1 + bytes.Count(data[:at], []byte{'\n'})
	column := at - bytes.LastIndexByte(data[:at], '\n')
	return fmt.Sprintf("no JSON at line %d, column %d: %s", line, column, syntax.Error())
}

// reader collects the mistakes while it reads.
type reader struct {
	kind             errs.Kind // of the first mistake
	field            string
	validationErrors []string
	skipped          int
}

func (p *reader) reject(kind errs.Kind, field, format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	switch {
	case len(p.validationErrors) == 0:
		p.kind, p.field = kind, field
		p.validationErrors = append(p.validationErrors, message)
	case len(p.validationErrors) < maxValidationErrors:
		p.validationErrors = append(p.validationErrors, field+": "+message)
	default:
		p.skipped++
	}
}

func (p *reader) failure() error {
	if len(p.validationErrors) == 0 {
		return nil
	}
	message := strings.Join(p.validationErrors, "; ")
	if p.skipped > 0 {
		message += fmt.Sprintf("; and %d more", p.skipped)
	}
	return errs.Field(p.kind, p.field, "%s", message)
}

func (p *reader) spec(v *fastjson.Value) state.Spec {
	spec := state.Spec{Queue: DefaultQueue}
	var steps []*fastjson.Value
	tasks := 0
	p.object("", v, map[string]func(string, *fastjson.Value){
		"key":   func(f string, v *fastjson.Value) { spec.Key = p.name(f, v) },
		"team":  func(f string, v *fastjson.Value) { spec.Team = p.name(f, v) },
		"queue": func(f string, v *fastjson.Value) { spec.Queue = p.name(f, v) },
		"steps": func(f string, v *fastjson.Value) { steps = p.array(f, v, 1, MaxSteps) },
	}, "key", "team", "steps")
	for i, v := range steps {
		step := p.step(fmt.Sprintf("steps[%d]", i), v)
		tasks += step.Tasks
		spec.Steps = append(spec.Steps, step)
	}
	if tasks > MaxJobTasks {
		p.reject(errs.Invalid, "steps", "the job has %d tasks, at most %d", tasks, MaxJobTasks)
	}
	p.checkSteps(spec.Steps)
	return spec
}

func (p *reader) step(path string, v *fastjson.Value) state.StepSpec {
	s := state.StepSpec{Tasks: DefaultTasks, Cores: DefaultCores, Retries: DefaultRetries}
	p.object(path, v, map[string]func(string, *fastjson.Value){
		"name":     func(f string, v *fastjson.Value) { s.Name = p.name(f, v) },
		"type":     func(f string, v *fastjson.Value) { s.Type = p.name(f, v) },
		"after":    func(f string, v *fastjson.Value) { s.After = p.names(f, v) },
		"tasks":    func(f string, v *fastjson.Value) { s.Tasks = p.number(f, v, 1, MaxTasks) },
		"cores":    func(f string, v *fastjson.Value) { s.Cores = p.number(f, v, 1, MaxCores) },
		"gpus":     func(f string, v *fastjson.Value) { s.GPUs = p.number(f, v, 0, MaxGPUs) },
		"labels":   func(f string, v *fastjson.Value) { s.Labels = p.labels(f, v) },
		"retries":  func(f string, v *fastjson.Value) { s.Retries = p.number(f, v, 0, MaxRetries) },
		"run":      func(f string, v *fastjson.Value) { s.Run = p.run(f, v) },
		"standing": func(f string, v *fastjson.Value) { s.LongRunning = p.boolean(f, v) },
		"gang":     func(f string, v *fastjson.Value) { s.Gang = p.boolean(f, v) },
	}, "name", "type")
	if s.Gang && s.Tasks > MaxGang {
		p.reject(errs.Invalid, path+".gang", "a gang has at most %d tasks, this step has %d", MaxGang, s.Tasks)
	}
	return s
}

// object passes each field of v to its reader; unknown, double and missing ones are mistakes.
func (p *reader) object(path string, v *fastjson.Value, fields map[string]func(string, *fastjson.Value), need ...string) {
	o, err := v.Object()
	if err != nil {
		p.reject(errs.Malformed, path, "must be an object, is %s", v.Type())
		return
	}
	seen := map[string]bool{}
	o.Visit(func(raw []byte, v *fastjson.Value) {
		name := string(raw)
		field := join(path, name)
		switch read := fields[name]; {
		case read == nil:
			p.reject(errs.Invalid, field, "there is no such field")
		case seen[name]:
			p.reject(errs.Invalid, field, "is given twice")
		default:
			seen[name] = true
			read(field, v)
		}
	})
	for _, name := range need {
		if !seen[name] {
			p.reject(errs.Invalid, join(path, name), "is missing")
		}
	}
}

// join makes a field's path; a name that came from outside is cut and cleaned.
func join(path, name string) string {
	if !nameForm.MatchString(name) {
		name = strconv.QuoteToASCII(name[:min(len(name), 64)])
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

func (p *reader) array(field string, v *fastjson.Value, least, most int) []*fastjson.Value {
	list, err := v.Array()
	if err != nil {
		p.reject(errs.Malformed, field, "must be an array, is %s", v.Type())
		return nil
	}
	if len(list) < least || len(list) > most {
		p.reject(errs.Invalid, field, "must have %d to %d entries, has %d", least, most, len(list))
		return nil
	}
	return list
}

func (p *reader) name(field string, v *fastjson.Value) string {
	raw, err := v.StringBytes()
	if err != nil {
		p.reject(errs.Malformed, field, "must be a string, is %s", v.Type())
		return ""
	}
	if !nameForm.Match(raw) {
		p.reject(errs.Invalid, field, nameRule)
		return ""
	}
	return string(raw)
}

func (p *reader) names(field string, v *fastjson.Value) []string {
	var out []string
	seen := map[string]bool{}
	for i, v := range p.array(field, v, 0, MaxSteps) {
		at := fmt.Sprintf("%s[%d]", field, i)
		name := p.name(at, v)
		if name != "" && seen[name] {
			p.reject(errs.Invalid, at, "names %q twice", name)
		}
		seen[name] = true
		out = append(out, name)
	}
	return out
}

func (p *reader) number(field string, v *fastjson.Value, least, most int) int {
	if v.Type() != fastjson.TypeNumber {
		p.reject(errs.Malformed, field, "must be a whole number, is %s", v.Type())
		return 0
	}
	n, err := v.Int64()
	switch {
	case err != nil:
		p.reject(errs.Malformed, field, "must be a whole number of %d to %d", least, most)
		return 0
	case n < int64(least) || n > int64(most):
		p.reject(errs.Invalid, field, "must be %d to %d, is %d", least, most, n)
		return 0
	}
	return int(n)
}

func (p *reader) boolean(field string, v *fastjson.Value) bool {
	b, err := v.Bool()
	if err != nil {
		p.reject(errs.Malformed, field, "must be true or false, is %s", v.Type())
	}
	return b
}

func (p *reader) labels(field string, v *fastjson.Value) map[string]string {
	o, err := v.Object()
	if err != nil {
		p.reject(errs.Malformed, field, "must be an object, is %s", v.Type())
		return nil
	}
	if o.Len() > MaxLabels {
		p.reject(errs.Invalid, field, "must have at most %d entries, has %d", MaxLabels, o.Len())
		return nil
	}
	out := map[string]string{}
	o.Visit(func(raw []byte, v *fastjson.Value) {
		name := string(raw)
		at := join(field, name)
		_, twice := out[name]
		switch {
		case !nameForm.MatchString(name):
			p.reject(errs.Invalid, at, "the label's name "+nameRule)
		case twice:
			p.reject(errs.Invalid, at, "is given twice")
		default:
			out[name] = p.name(at, v)
		}
	})
	return out
}

// run keeps any JSON in one form: no white space, fields in order of names, numbers as they were written.
func (p *reader) run(field string, v *fastjson.Value) json.RawMessage {
	p.rejectDuplicates(field, v)
	decoder := json.NewDecoder(bytes.NewReader(v.MarshalTo(nil)))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		p.reject(errs.Malformed, field, "%s", err)
		return nil
	}
	raw, err := json.Marshal(value)
	if err != nil {
		p.reject(errs.Malformed, field, "%s", err)
		return nil
	}
	if len(raw) > MaxRun {
		p.reject(errs.Invalid, field, "must be at most %d bytes, is %d", MaxRun, len(raw))
		return nil
	}
	return raw
}

// rejectDuplicates refuses a field given twice at any depth.
func (p *reader) rejectDuplicates(path string, v *fastjson.Value) {
	switch v.Type() {
	case fastjson.TypeArray:
		for i, v := range v.GetArray() {
			p.rejectDuplicates(fmt.Sprintf("%s[%d]", path, i), v)
		}
	case fastjson.TypeObject:
		seen := map[string]bool{}
		v.GetObject().Visit(func(raw []byte, v *fastjson.Value) {
			name := string(raw)
			if seen[name] {
				p.reject(errs.Invalid, join(path, name), "is given twice")
			}
			seen[name] = true
			p.rejectDuplicates(join(path, name), v)
		})
	}
}

// checkSteps checks how steps name each other: once each, only steps that exist, no cycle.
func (p *reader) checkSteps(steps []state.StepSpec) {
	index := map[string]int{}
	for i, s := range steps {
		if s.Name == "" {
			continue
		}
		if first, twice := index[s.Name]; twice {
			p.reject(errs.Invalid, fmt.Sprintf("steps[%d].name", i), "%q is the name of steps[%d] too", s.Name, first)
			continue
		}
		index[s.Name] = i
	}
	for i, s := range steps {
		for k, name := range s.After {
			if _, ok := index[name]; !ok && name != "" {
				p.reject(errs.Invalid, fmt.Sprintf("steps[%d].after[%d]", i, k), "no step is named %q", name)
			}
		}
	}
	p.checkCycles(steps, index)
}

// checkCycles refuses steps that wait for each other. index has the places of the steps by name.
func (p *reader) checkCycles(steps []state.StepSpec, index map[string]int) {
	const onPath, cleared = 1, 2
	mark := make([]int, len(steps))
	var path []string
	var visit func(i int) bool
	visit = func(i int) bool {
		mark[i] = onPath
		path = append(path, steps[i].Name)
		for k, name := range steps[i].After {
			next, ok := index[name]
			if !ok || mark[next] == cleared {
				continue
			}
			if mark[next] == onPath {
				cycle := strings.Join(append(path[slices.Index(path, name):], name), " after ")
				p.reject(errs.Invalid, fmt.Sprintf("steps[%d].after[%d]", i, k), "steps wait for each other: %s", cycle)
				return false
			}
			if !visit(next) {
				return false
			}
		}
		mark[i] = cleared
		path = path[:len(path)-1]
		return true
	}
	for i := range steps {
		if mark[i] == 0 && !visit(i) {
			return
		}
	}
}
