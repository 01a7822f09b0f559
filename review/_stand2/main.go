// Command _stand2 plays the scripted cases 6 to 10 of the review: the stand-ins of the store, the endpoints, the
// clients and the network, and the processes under test.
//
//	review-2 CASE FOLDER
//
// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	held     = 0
	broken   = 1
	notRun   = 2
	hostName = "jepu9.example"
)

// zones are the availability zones of the site.
var zones = []string{"qld-se-a", "qld-se-b", "qld-se-c"}

// scene is what a case plays in.
type scene struct {
	fleet   *fleet
	record  *record
	trouble bool
}

var cases = map[string]func(s *scene) (status int, err error){
	"joined-and-left": joinedAndLeft,
	"turned-away":     turnedAway,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		return notRun
	}
	temporary, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(temporary) }()
	} else {
		fmt.Println(temporary)
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	s := &scene{fleet: newFleet(temporary), record: r, trouble: os.Getenv("TROUBLE") != "0"}
	status, err := cases[os.Args[1]](s)
	s.fleet.stopAll()
	if err != nil {
		r.line("the case could not run: %s", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	return status
}

// say writes a line to the record and to standard output.
func (s *scene) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	s.record.line(format, args...)
}
