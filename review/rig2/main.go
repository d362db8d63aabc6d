// Package main is the rig of the second review: it starts the project's own programs with the commands of the deploy
// file, as separate processes on loopback addresses, with stand-ins for minions, clients and the operator that keep to
// the users' pages. Each scenario plays one case of the review and checks one rule.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// Exit codes of a scenario, as the issue asks for them.
const (
	ruleHeld   = 0
	ruleBroken = 1
	noResult   = 2
)

// scenarios maps the name of each scenario to the function that plays it and returns the verdict.
var scenarios = map[string]func(*world) verdict{
	"blocked": playBlocked,
	"renamed": playRenamed,
	"dropped": playDropped,
	"hung":    playHung,
}

// verdict is the result of a scenario: empty if the rule held.
type verdict string

// setupError is the panic value of a scenario that could not run.
type setupError string

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig2 SCENARIO FOLDER")
		os.Exit(noResult)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2]))
}

// run plays a scenario and writes record.txt into folder.
func run(play func(*world) verdict, folder string) (code int) {
	w := newWorld(folder, os.Getenv("TROUBLE") != "0")
	defer func() {
		if failure := recover(); failure != nil {
			w.note("the case could not run: %v", failure)
			code = noResult
			if _, isSetup := failure.(setupError); !isSetup {
				w.close()
				panic(failure)
			}
		}
		w.note("exit code %d", code)
		w.close()
	}()
	w.note("disruption: %t", w.trouble)
	result := play(w)
	if result == "" {
		w.note("the rule held")
		return ruleHeld
	}
	w.note("THE RULE IS BROKEN: %s", result)
	return ruleBroken
}

// fail ends a scenario that could not run.
func fail(format string, args ...any) { panic(setupError(fmt.Sprintf(format, args...))) }

// until waits until isTrue returns true; it ends the scenario if that takes longer than limit.
func (w *world) until(what string, limit time.Duration, isTrue func() bool) {
	deadline := w.now() + limit
	for !isTrue() {
		if w.now() > deadline {
			fail("%s: not within %s", what, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// watch calls look every 20 ms until the given time on the rig's clock, or until look returns a verdict.
func (w *world) watch(end time.Duration, look func() verdict) verdict {
	for w.now() < end {
		if v := look(); v != "" {
			return v
		}
		time.Sleep(20 * time.Millisecond)
	}
	return ""
}

// indent returns text with each line indented.
func indent(text string) string {
	return "    " + strings.ReplaceAll(strings.TrimSpace(text), "\n", "\n    ")
}
