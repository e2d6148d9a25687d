// Command standin plays the cases of the review: it starts the project's own program as the nodes of a small deployment
// on loopback addresses, and stands in for the platform, its operator, its consumers and its instances.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var errUsage = errors.New("usage: standin instance|case NAME [flags]")

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, errUsage)
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "instance" {
		if err := runInstance(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
		return
	}
	broken, err := runCase(os.Args[2], os.Args[3:])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitNotRun)
	case broken > 0:
		fmt.Printf("the rule was broken %d times\n", broken)
		os.Exit(exitBroken)
	default:
		fmt.Println("the rule held")
		os.Exit(exitHeld)
	}
}

// stopOnSignal ends the processes of the case when this process is told to end.
func (s *scene) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		s.stop()
		_ = os.RemoveAll(s.folder)
		os.Exit(exitNotRun)
	}()
}

// runCase plays a case and returns how often the rule was broken.
func runCase(name string, args []string) (broken int, err error) {
	flags := flag.NewFlagSet("case", flag.ContinueOnError)
	recordPath := flags.String("record", "record.txt", "`FILE` for what was sent, answered and run")
	program := flags.String("program", "target/marigoldrelay", "the project's `PROGRAM`")
	trouble := flags.Bool("trouble", true, "whether the disruption happens")
	if err := flags.Parse(args); err != nil {
		return 0, err
	}
	chosen, ok := cases[name]
	if !ok {
		return 0, fmt.Errorf("%w: no case %s", errUsage, name)
	}
	r, err := newRecord(*recordPath)
	if err != nil {
		return 0, err
	}
	folder, err := os.MkdirTemp("", "marigoldrelay-review-")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	s := &scene{folder: folder, trouble: *trouble}
	if s.deployment, err = newDeployment(r, folder, *program, chosen.services...); err != nil {
		return 0, err
	}
	defer s.stop()
	s.stopOnSignal()
	if err = s.setUp(chosen.services); err == nil {
		broken, err = chosen.play(s)
	}
	if err != nil {
		r.printf("the case could not run: %v", err)
		return 0, err
	}
	r.printf("the rule was broken %d times", broken)
	return broken, nil
}
