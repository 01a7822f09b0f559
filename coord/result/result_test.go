package result

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
)

// tablePath is the page that documents the codes for operators and callers.
const tablePath = "../../docs/RESULT-CODES.md"

// update rewrites the rows of the page: go test ./coord/result -update
var update = flag.Bool("update", false, "rewrite the rows of the page of codes")

// writeRows replaces the rows of the table at the end of the page.
func writeRows(t *testing.T) {
	t.Helper()
	page, err := os.ReadFile(tablePath)
	if err != nil {
		t.Fatal(err)
	}
	head, _, _ := strings.Cut(string(page), "|---|---|---|---|---|\n")
	var b strings.Builder
	b.WriteString(head + "|---|---|---|---|---|\n")
	for _, e := range Table {
		b.WriteString(row(e) + "\n")
	}
	if err := os.WriteFile(tablePath, []byte(b.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

// row returns the table row of an entry.
func row(e Entry) string {
	status := "-"
	if e.Status != 0 {
		status = fmt.Sprint(e.Status)
	}
	return fmt.Sprintf("| %d | %s | %s | %s | %s |", e.Code, e.Name, status, e.Execution, e.Text)
}

func TestPageListsExactlyTheTableOfCodes(t *testing.T) {
	if *update {
		writeRows(t)
	}
	page, err := os.ReadFile(tablePath)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| ") && line[2] >= '0' && line[2] <= '9' {
			got = append(got, strings.TrimSpace(line))
		}
	}
	for i, e := range Table {
		want := row(e)
		if i >= len(got) || got[i] != want {
			t.Fatalf("row %d of %s differs; want\n%s", i+1, tablePath, want)
		}
	}
	if len(got) != len(Table) {
		t.Fatalf("%s has %d rows, want %d", tablePath, len(got), len(Table))
	}
}

func TestCodesAscendAndNamesAreUnique(t *testing.T) {
	names := map[string]bool{}
	for i, e := range Table {
		if i > 0 && e.Code <= Table[i-1].Code {
			t.Errorf("code %d follows %d", e.Code, Table[i-1].Code)
		}
		if names[e.Name] {
			t.Errorf("name %q is used twice", e.Name)
		}
		names[e.Name] = true
	}
}

func TestNotRunCodesHaveErrorStatus(t *testing.T) {
	for _, e := range Table {
		if e.Execution == NotRun && e.Status < 400 {
			t.Errorf("code %d is not-run with status %d", e.Code, e.Status)
		}
	}
}
