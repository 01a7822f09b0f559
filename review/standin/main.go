// Command standin plays the scripted cases of the review: it starts the project's programs as separate
// processes and takes the place of the platform's store, the endpoints and the clients.
//
// Usage: standin CASE GATE RECORD. It exits with 1 if the rule was broken, 0 if it held, 2 if the case
// could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

// trouble reports whether the disruption is played.
var trouble = os.Getenv("TROUBLE") != "0"

var cases = map[string]func(f *fleet) (verdict, error){
	"silent-store": silentStore,
	"late-request": lateRequest,
	"one-left":     oneLeft,
	"large-bodies": largeBodies,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE GATE RECORD")
		return 2
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	f, err := newFleet(os.Args[2], r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		_ = f.end()
		os.Exit(2)
	}()
	v, err := cases[os.Args[1]](f)
	if endErr := f.end(); endErr != nil {
		fmt.Fprintln(os.Stderr, endErr)
	}
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case v.broken:
		r.printf("BROKEN: %s", v.text)
		fmt.Println("broken:", v.text)
		return 1
	}
	r.printf("HELD: %s", v.text)
	fmt.Println("held:", v.text)
	return 0
}
