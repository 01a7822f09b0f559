package soak

import (
	"bytes"
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestReportNamesTheFirstFindingWithItsLogLines(t *testing.T) {
	at := time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)
	line := func(after time.Duration, msg string) string {
		return `{"time":"` + at.Add(after).Format(time.RFC3339Nano) + `","msg":"` + msg + `"}`
	}
	r := &Report{
		Seed: 7, Faults: []string{"freeze", "reload", "burst"}, Played: []int{0, 2}, Lag: 20 * time.Millisecond,
		Findings: []Finding{
			{Rule: RuleLost, Machine: "one", Request: "a", At: at, Took: time.Second, Beyond: time.Second, Text: "first"},
			{Rule: RuleLost, Machine: "two", Request: "b", At: at.Add(time.Second), Beyond: 3 * time.Second, Text: "second"},
		},
		Records: Records{
			Attempts: []Attempt{{Status: 200}, {Status: 503, Direct: true}},
			Windows:  []Window{{Kind: WindowStarved}},
			Logs:     map[string][]string{"one": {line(0, "before"), line(time.Second/2, "during"), line(2*time.Second, "after")}},
		},
	}
	want := Summary{
		Seed: 7, Faults: []string{"0:freeze", "2:burst"}, Attempts: 2, Direct: 1, Served: 1, Starved: 1, LagMS: 20,
		Broken: []RuleSummary{{Rule: RuleLost, Count: 2, Machines: 2, BeyondMS: 3000, First: "08:00:00.000 LOST one a beyond 1.000 s: first"}},
	}
	var encoded bytes.Buffer
	if err := r.WriteJSON(&encoded); err != nil {
		t.Fatal(err)
	}
	var got Summary
	if err := json.Unmarshal(encoded.Bytes(), &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, %v", got, err)
	}
	var text strings.Builder
	if err := r.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"seed 7", "0:freeze 2:burst", "LOST 2 at 2 machines (up to 3.0 s beyond the bound)", "one a beyond", "before", "during"} {
		if !strings.Contains(text.String(), part) {
			t.Errorf("%q is missing in\n%s", part, &text)
		}
	}
	if strings.Contains(text.String(), "after") {
		t.Errorf("a log line from after the finding in\n%s", &text)
	}
}

func TestShrinkKeepsTheFaultsThatBreakAPromise(t *testing.T) {
	for name, tc := range map[string]struct {
		needed, want []int // Faults that break a promise together; what is left.
	}{
		"one":           {[]int{3}, []int{3}},
		"two":           {[]int{1, 4}, []int{1, 4}},
		"any":           {nil, []int{4}},
		"all":           {[]int{0, 1, 2, 3, 4}, []int{0, 1, 2, 3, 4}},
		"not repeating": {[]int{9}, []int{0, 1, 2, 3, 4}},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := Shrink([]int{0, 1, 2, 3, 4}, func(only []int) (bool, error) {
				for _, k := range tc.needed {
					if !strings.Contains(","+JoinNumbers(only)+",", ","+JoinNumbers([]int{k})+",") {
						return false, nil
					}
				}
				return true, nil
			})
			if err != nil || !reflect.DeepEqual(got, tc.want) {
				t.Errorf("%v, %v; want %v", got, err, tc.want)
			}
		})
	}
	failure := errors.New("not played")
	if got, err := Shrink([]int{0, 1}, func([]int) (bool, error) { return false, failure }); !errors.Is(err, failure) || len(got) != 2 {
		t.Errorf("%v, %v", got, err)
	}
}

func TestOptionsAreChecked(t *testing.T) {
	if err := DefaultOptions().Check(); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(*Options){
		"0 processes":       func(o *Options) { o.Instances = 0 },
		"251 processes":     func(o *Options) { o.Instances = 251 },
		"a duration of 12s": func(o *Options) { o.Duration = 12 * time.Second },
		"a rate of 0":       func(o *Options) { o.Rate = 0 },
		"an interval of 0s": func(o *Options) { o.Direct = 0 },
		"-1 busy processes": func(o *Options) { o.Load = -1 },
		"1.5 of long":       func(o *Options) { o.Long = 1.5 },
		"-0.1 of callers":   func(o *Options) { o.Stale = -0.1 },
		"2 of lost":         func(o *Options) { o.Loss = 2 },
		`no fault "absent"`: func(o *Options) { o.Faults = []string{"absent"} },
	} {
		o := DefaultOptions()
		change(&o)
		if err := o.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v; want it to name %q", err, want)
		}
	}
}
