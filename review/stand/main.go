// Command stand runs one case of the review against the project's own programs, with small
// stand-ins for the platform, the workers and the clients.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

var cases = map[string]func(s *site, trouble bool) (int, error){
	"evacuate": caseEvacuate,
	"shrink":   caseShrink,
	"route":    caseRoute,
	"late":     caseLate,
	"reborn":   caseReborn,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(couldNot)
	}
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	done := make(chan int, 1)
	go func() {
		code, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
		if err != nil {
			s.logf("the case could not run: %v", err)
			fmt.Println("the case could not run:", err)
			code = couldNot
		}
		done <- code
	}()
	code := couldNot
	select {
	case code = <-done:
	case <-time.After(110 * time.Second):
		s.logf("the case took too long")
	}
	s.logf("result: %s", [...]string{"the rule held", "the rule is broken", "the case could not run"}[code])
	s.close()
	os.Exit(code)
}
