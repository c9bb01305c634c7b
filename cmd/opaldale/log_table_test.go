package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
)

const (
	logTablePage  = "../../docs/operations.md"
	logTableStart = "<!-- log lines -->"
	logTableEnd   = "<!-- end of log lines -->"
)

// logStatement is a message that a call in the code may log, or a row of the tables.
type logStatement struct {
	position string
	message  string
	levels   []string // sorted
	keys     []string // in order
}

// TestLogTables compares the tables of log lines in docs/operations.md with the log statements in the code: messages,
// levels and attribute keys. Operators search and alert by these tables.
func TestLogTables(t *testing.T) {
	page, err := os.ReadFile(logTablePage)
	if err != nil {
		t.Fatal(err)
	}
	rows, problems := parseLogTables(string(page))
	statements, sourceProblems := readLogStatements(t)
	if len(rows) == 0 || len(statements) == 0 {
		t.Fatalf("got %d rows in the tables and %d log statements in the code, want some of both", len(rows), len(statements))
	}
	problems = append(problems, sourceProblems...)
	for _, problem := range append(problems, compareLogStatements(rows, statements)...) {
		t.Error(problem)
	}
}

// parseLogTables returns the rows of the tables between the markers of a page, and a description of each malformed row.
func parseLogTables(page string) (rows []logStatement, problems []string) {
	before, rest, startFound := strings.Cut(page, logTableStart)
	tables, _, endFound := strings.Cut(rest, logTableEnd)
	if !startFound || !endFound {
		return nil, []string{"no " + logTableStart + " followed by " + logTableEnd}
	}
	firstLine := strings.Count(before, "\n") + 1
	for i, line := range strings.Split(tables, "\n") {
		if !strings.HasPrefix(line, "|") || strings.HasPrefix(line, "| message |") || strings.HasPrefix(line, "| ---") {
			continue
		}
		position := fmt.Sprintf("%s:%d", logTablePage, firstLine+i)
		cells := strings.Split(strings.Trim(line, "|"), "|")
		if len(cells) != 4 {
			problems = append(problems,
				fmt.Sprintf("%s: got %d cells, want message, level, keys and meaning", position, len(cells)))
			continue
		}
		row := logStatement{position: position, message: strings.TrimSpace(cells[0])}
		row.levels = splitCell(strings.ReplaceAll(cells[1], ";", ","))
		slices.Sort(row.levels)
		for _, key := range splitCell(cells[2]) {
			row.keys = append(row.keys, strings.Trim(key, "`"))
		}
		rows = append(rows, row)
	}
	return rows, problems
}

// splitCell returns the items of a list that is separated by commas.
func splitCell(cell string) (items []string) {
	for item := range strings.SplitSeq(cell, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// compareLogStatements returns the differences between the rows of the tables and the log statements in the code.
func compareLogStatements(rows, statements []logStatement) (problems []string) {
	rowOf := make(map[string]logStatement)
	for _, row := range rows {
		if earlier, ok := rowOf[row.message]; ok {
			problems = append(problems,
				fmt.Sprintf("%s: message %q is already in %s", row.position, row.message, earlier.position))
		}
		rowOf[row.message] = row
	}
	levelsOf := make(map[string][]string)
	for _, statement := range statements {
		levelsOf[statement.message] = append(levelsOf[statement.message], statement.levels...)
		row, ok := rowOf[statement.message]
		switch {
		case !ok:
			problems = append(problems, fmt.Sprintf("%s: message %q is not in the tables of %s",
				statement.position, statement.message, logTablePage))
		case !slices.Equal(row.keys, statement.keys):
			problems = append(problems, fmt.Sprintf("%s: message %q has keys %q, but %q in %s",
				row.position, row.message, row.keys, statement.keys, statement.position))
		}
	}
	for _, row := range rows {
		levels, ok := levelsOf[row.message]
		slices.Sort(levels)
		switch levels = slices.Compact(levels); {
		case !ok:
			problems = append(problems, fmt.Sprintf("%s: no code logs message %q", row.position, row.message))
		case !slices.Equal(row.levels, levels):
			problems = append(problems, fmt.Sprintf("%s: message %q has levels %q, but %q in the code",
				row.position, row.message, row.levels, levels))
		}
	}
	return problems
}

// TestCompareLogStatements checks that each kind of difference between the tables and the code is reported.
func TestCompareLogStatements(t *testing.T) {
	row := func(cells string) string { return logTableStart + "\n| " + cells + " | text |\n" + logTableEnd }
	statements := []logStatement{{"a.go:1:1", "m", []string{"debug", "info"}, []string{"j", "k"}}}
	for _, c := range []struct {
		name, page string
		problems   int
	}{
		{"equal", row("m | info; debug | `j`, `k`"), 0},
		{"another message", row("n | info; debug | `j`, `k`"), 2},
		{"another level", row("m | info | `j`, `k`"), 1},
		{"another key", row("m | info; debug | `j`, `l`"), 1},
		{"a key is missing", row("m | info; debug | `j`"), 1},
		{"no keys", row("m | info; debug | "), 1},
		{"a row twice", row("m | debug, info | `j`, `k` | text |\n| m | debug, info | `j`, `k`"), 1},
		{"a cell is missing", row("m | info; debug"), 2},
		{"no marker", "| m | info; debug | `j`, `k` | text |", 2},
	} {
		rows, problems := parseLogTables(c.page)
		if problems = append(problems, compareLogStatements(rows, statements)...); len(problems) != c.problems {
			t.Errorf("%s: got %d problems %q, want %d", c.name, len(problems), problems, c.problems)
		}
	}
}
