// Command soakrun plays seeded fault runs against real damaskgate processes on loopback. It exits with
// 0 if no rule was broken, 1 if one was, 2 if a run could not be played.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/damaskcove/damaskcove/internal/soak"
)

func main() {
	os.Exit(run())
}

func run() int {
	var o soak.Options
	folder := flag.String("folder", "", "folder for settings and logs, a subfolder a seed")
	first := flag.Uint64("seed", 1, "first seed")
	seeds := flag.Int("seeds", 1, "number of seeds")
	faults := flag.String("faults", "", "faults to draw from, separated by commas (all)")
	network := flag.Uint("network", 77, "second octet of the loopback addresses")
	flag.StringVar(&o.Gate, "gate", "", "path of damaskgate")
	flag.IntVar(&o.Instances, "processes", 44, "instances at the start")
	flag.DurationVar(&o.Duration, "duration", 45*time.Second, "time of the traffic")
	flag.BoolVar(&o.Relay, "relay", true, "relay the datagrams between instances")
	flag.Float64Var(&o.Loss, "loss", 0.001, "share of the relayed datagrams that is always lost")
	flag.Float64Var(&o.Rate, "rate", 120, "requests a second")
	flag.DurationVar(&o.Direct, "direct", time.Second, "interval of the direct checks of each instance")
	flag.IntVar(&o.Load, "load", 0, "busy processes beside the instances")
	flag.IntVar(&o.Cores, "cores", 0, "cores for the instances and the busy processes (all)")
	busy := flag.Bool("busy", false, "be a busy process")
	flag.Parse()
	if *busy {
		soak.Burn()
	}
	o.Busy = []string{os.Args[0], "-busy"}
	if *folder == "" || o.Gate == "" {
		fmt.Fprintln(os.Stderr, "-folder and -gate are required")
		return 2
	}
	if *faults != "" {
		o.Faults = strings.Split(*faults, ",")
	}
	o.Network = byte(*network)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	exit := 0
	for k := range *seeds {
		o.Seed = *first + uint64(k)
		o.Folder = filepath.Join(*folder, fmt.Sprint(o.Seed))
		report, err := soak.Play(ctx, o)
		if err != nil {
			fmt.Printf("seed %d: the run could not be played as intended: %v\n", o.Seed, err)
			exit = 2
		}
		if report == nil {
			continue
		}
		if err := write(o.Folder, report); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		if len(report.Findings) > 0 && exit == 0 {
			exit = 1
		}
		if err == nil {
			fmt.Println(summary(report))
		}
		if ctx.Err() != nil {
			return 2
		}
	}
	return exit
}

// write keeps the report in the run's folder.
func write(folder string, r *soak.Report) error {
	var text strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintf(&text, "%s %s %s %s beyond %.3f s: %s\n", f.At.UTC().Format("15:04:05.000"), f.Rule, f.Machine, f.Request, f.Beyond.Seconds(), f.Text)
	}
	records, err := json.Marshal(r.Records)
	if err != nil {
		return fmt.Errorf("encode the records: %w", err)
	}
	for name, data := range map[string][]byte{
		"findings.txt": []byte(text.String()),
		"timeline.txt": []byte(strings.Join(r.Timeline, "\n") + "\n"),
		"records.json": records,
	} {
		if err := os.WriteFile(filepath.Join(folder, name), data, 0o600); err != nil {
			return fmt.Errorf("write the report: %w", err)
		}
	}
	return nil
}

// summary returns a run's outcome as one line.
func summary(r *soak.Report) string {
	type group struct {
		n        int
		machines []string
		beyond   time.Duration
	}
	groups := map[soak.Rule]*group{}
	var rules []soak.Rule
	for _, f := range r.Findings {
		g := groups[f.Rule]
		if g == nil {
			g = &group{}
			groups[f.Rule] = g
			rules = append(rules, f.Rule)
		}
		g.n++
		g.beyond = max(g.beyond, f.Beyond)
		if !slices.Contains(g.machines, f.Machine) {
			g.machines = append(g.machines, f.Machine)
		}
	}
	served, direct := 0, 0
	for _, a := range r.Records.Attempts {
		if a.Status == 200 {
			served++
		}
		if a.Direct {
			direct++
		}
	}
	starved := 0
	for _, w := range r.Records.Windows {
		if w.Kind == soak.WindowStarved {
			starved++
		}
	}
	var faults []string
	for _, line := range r.Timeline {
		if _, name, ok := strings.Cut(line, " fault "); ok {
			faults = append(faults, name)
		}
	}
	text := fmt.Sprintf("seed %d: %d attempts (%d direct), %d served, timers late %d times (up to %d ms); faults %s;", r.Seed, len(r.Records.Attempts), direct, served, starved, r.Lag.Milliseconds(), strings.Join(faults, " "))
	if len(rules) == 0 {
		return text + " held"
	}
	for _, rule := range rules {
		g := groups[rule]
		text += fmt.Sprintf(" %s %d at %d machines (up to %.1f s beyond the bound);", rule, g.n, len(g.machines), g.beyond.Seconds())
	}
	return text
}
