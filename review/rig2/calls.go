package main

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"
)

// httpClient makes the calls of clients, minions and the operator.
var httpClient = &http.Client{}

// reply is the answer to a call; status 0 means that there was none.
type reply struct {
	status int
	body   []byte
}

// call makes one HTTP call with the given headers, and waits at most limit for the answer.
func call(method, addr, path string, headers map[string]string, body any, limit time.Duration) reply {
	var payload io.Reader
	if body != nil {
		payload = bytes.NewReader(encode(body))
	}
	request, err := http.NewRequest(method, "http://"+addr+path, payload)
	check(err, "request")
	request.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	if host := headers["Host"]; host != "" {
		request.Host = host
	}
	client := *httpClient
	client.Timeout = limit
	response, err := client.Do(request)
	if err != nil {
		return reply{}
	}
	defer func() { _ = response.Body.Close() }() // it was read, or the call has no answer
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{}
	}
	return reply{status: response.StatusCode, body: text}
}

// queueHost is the host of all routes.
const queueHost = "jobs.example"

// clientCall makes a client's call to a front, with a deadline of 3 s, and again at the other front if there is no
// answer, a 502 or a 504, or a 503 to a read.
func (w *world) clientCall(method, path string, body any) reply {
	var answer reply
	for try := range 4 {
		front := w.addr(hostFront+try%frontCount, portClients)
		answer = call(method, front, path, map[string]string{"Host": queueHost, words["deadline"]: "3000"}, body,
			3*time.Second)
		if answer.status != 0 && answer.status < http.StatusInternalServerError {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return answer
}

// submit hands a job in and ends the scenario if it is not accepted.
func (w *world) submit(path string, body any) {
	answer := w.clientCall(http.MethodPost, path, body)
	w.note("client: POST %s %s -> %d", path, encode(body), answer.status)
	if answer.status != http.StatusOK {
		fail("the job %s was not accepted: %d", path, answer.status)
	}
}

// state asks for a job's state. It is the status if the answer is not 200.
func (w *world) state(path string) string {
	answer := w.clientCall(http.MethodGet, path, nil)
	if answer.status != http.StatusOK {
		return "status " + strconv.Itoa(answer.status)
	}
	var document struct {
		State string `json:"state"`
	}
	check(decode(answer.body, &document), "state")
	return document.State
}

// noteState asks for a job's state and records it.
func (w *world) noteState(path string) string {
	state := w.state(path)
	w.note("client: GET %s -> %s", path, state)
	return state
}

// order sends an order of the operator, to one core machine after the other until it is acknowledged.
func (w *world) order(path, base string, body any, limit time.Duration) {
	deadline := w.now() + limit
	for try := 0; ; try++ {
		answer := call(http.MethodPost, w.addr(hostCore+try%coreCount, portControl), path,
			map[string]string{words["base"]: base}, body, 3*time.Second)
		if answer.status == http.StatusOK {
			w.note("operator: POST %s on version %s -> 200\n%s", path, base, indent(string(encode(body))))
			return
		}
		isRefused := answer.status == http.StatusBadRequest || answer.status == http.StatusPreconditionFailed
		if w.now() > deadline || isRefused {
			fail("order %s: %d %s", path, answer.status, answer.body)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// job returns the body that hands a job in.
func job(spec taskSpec, steps ...any) map[string]any {
	return map[string]any{"taskSpec": specOf(spec), "steps": steps}
}

// route returns one route of a configuration.
func route(name, prefix, service string, priority int, stretch float64) map[string]any {
	return map[string]any{"name": name, "host": queueHost, "pathPrefix": prefix, "kind": "non_idempotent",
		"timeoutMs": 3000, "targetLatencyMs": 3000, "priority": priority, "service": service,
		"maxAttempts": 2, "stretch": stretch}
}

// service returns one service of a configuration.
func service(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "connectionLimit": 64, "protocol": "h1",
		"tls": false, "coldStartS": 0.0, "coldPerS": 0.0, "rejectsOverload": true}
}
