// Command rig plays one case of the review: it starts the project's own programs as processes on loopback addresses, with stand-ins
// of the platform, the operator, the instances and the consumers beside them.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun is wrapped by the error of a case that could not run.
var errNotRun = errors.New("the case could not run")

// play is one case. It reports whether the rule was broken. Without trouble it does the same without the disruption.
type play func(d *deployment, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"foreign-service": playForeignService,
	"forgotten-leave": playForgottenLeave,
	"late-extra":      playLateExtra,
	"late-refusal":    playLateRefusal,
	"missing-field":   playMissingField,
	"own-refusal":     playOwnRefusal,
}

func main() {
	os.Exit(runCase())
}

// runCase plays the case that the first argument names; the second is the folder of the record and the third the program.
func runCase() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "want: rig CASE FOLDER PROGRAM")
		return exitNotRun
	}
	chosen, ok := plays[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	broken, err := playIn(chosen, r)
	switch {
	case err != nil:
		r.line("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		r.line("the rule is broken")
		fmt.Println("the rule is broken")
		return exitBroken
	default:
		r.line("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}

// playIn plays the case in a temporary folder and ends all its processes.
func playIn(chosen play, r *record) (broken bool, err error) {
	folder, err := os.MkdirTemp("", "rig")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	program, err := filepath.Abs(os.Args[3])
	if err != nil {
		return false, err
	}
	d, err := newDeployment(folder, program, r)
	if err != nil {
		return false, err
	}
	defer d.kill()
	go endEarly(d)
	return chosen(d, os.Getenv("TROUBLE") != "0")
}

// limit is how long a case can take.
const limit = 100 * time.Second

// endEarly ends all processes, and the case as one that could not run, when it takes too long or is told to end.
func endEarly(d *deployment) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(limit):
	}
	d.kill()
	os.Exit(exitNotRun)
}
