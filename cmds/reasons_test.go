package cmds

import (
	"context"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"

	"rhubarbrack/caller"
	"rhubarbrack/route"
)

// typedConstants returns the values of the string and number constants of the given
// types in the source files of a package. Types are named as in the source.
func typedConstants(t *testing.T, directory string, types ...string) []string {
	t.Helper()
	var out []string
	inspectPackage(t, directory, func(n ast.Node) {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || spec.Type == nil || !slices.Contains(types, qualifiedName(spec.Type)) {
			return
		}
		for _, v := range spec.Values {
			if literal, ok := v.(*ast.BasicLit); ok {
				out = append(out, strings.Trim(literal.Value, `"`))
			}
		}
	})
	if len(out) == 0 {
		t.Fatalf("no constants of %v in %s", types, directory)
	}
	return out
}

// qualifiedName returns the text of an identifier or a selector expression, and ""
// for any other expression.
func qualifiedName(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		return qualifiedName(e.X) + "." + e.Sel.Name
	}
	return ""
}

// inspectPackage calls a function for every syntax node of a package, without its
// tests.
func inspectPackage(t *testing.T, directory string, inspect func(ast.Node)) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(directory, "*.go"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no Go files in %s: %v", directory, err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			inspect(n)
			return true
		})
	}
}

// TestReasons guards against reasons that an operator or a caller can receive but
// that the operations page does not explain.
func TestReasons(t *testing.T) {
	page := readPage(t, operationsPage)
	callers, operators := pageSection(t, page, "### What callers are told"), pageSection(t, page, "### What operators are told")
	cases := []struct {
		name      string
		directory string
		types     []string
		text      string
		// internal lists the reasons that only processes of the system
		// receive.
		internal []string
	}{
		{"route", "../route", []string{"Reason"}, callers, nil},
		{"caller", "../caller", []string{"route.Reason"}, callers, nil},
		{"steer", "../steer", []string{"Reason"}, callers, nil},
		{"entry", "../entry", []string{"steer.Reason"}, callers, nil},
		{"limit", "../limit", []string{"Reason"}, callers, nil},
		{"state", "../state", []string{"Reason"}, operators,
			[]string{"stale-revision", "stale-epoch", "stale-incarnation", "claim-mismatch", "claims-full", "claim-not-held"}},
		{"shift causes", "../shift", []string{"Cause"}, pageSection(t, page, "### status -events"), nil},
	}
	for _, c := range cases {
		for _, reason := range typedConstants(t, c.directory, c.types...) {
			if !strings.Contains(c.text, "`"+reason+"`") && !slices.Contains(c.internal, reason) {
				t.Errorf("%s: the page does not explain %s", c.name, reason)
			}
		}
	}
}

// pageSection returns the text from a heading to the next one of the same or a
// higher level.
func pageSection(t *testing.T, page, heading string) string {
	t.Helper()
	_, text, ok := strings.Cut(page, "\n"+heading+"\n")
	if !ok {
		t.Fatalf("the page lacks the heading %q", heading)
	}
	level := strings.Index(heading, " ")
	for offset, line := 0, ""; offset < len(text); offset += len(line) {
		line, _, _ = strings.Cut(text[offset:], "\n")
		if lineLevel := strings.Index(line, " "); strings.HasPrefix(line, "##") && lineLevel <= level {
			return text[:offset]
		}
		line += "\n"
	}
	return text
}

// refusingRouter refuses every request with the same reason. As a Recorder, it
// discards the results.
type refusingRouter struct{ reason route.Reason }

func (r refusingRouter) Run(context.Context, route.Request, route.Exchange) route.Result {
	return route.Refuse(r.reason, "", 0)
}

func (refusingRouter) Record(route.Request, route.Result, time.Time, time.Duration) {}

// TestStatuses guards against HTTP statuses in the operations page that differ
// from the ones in responses to callers.
func TestStatuses(t *testing.T) {
	rows := pageSection(t, readPage(t, operationsPage), "### What callers are told")
	for _, reason := range typedConstants(t, "../route", "Reason") {
		if route.Reason(reason) == route.ReasonReplayed {
			continue
		}
		r := refusingRouter{reason: route.Reason(reason)}
		request := httptest.NewRequest(http.MethodGet, "/", nil)
		request.RemoteAddr = ""
		response := httptest.NewRecorder()
		caller.NewHandler("entry-1", 1, nil, r, nil, nil, r).ServeHTTP(response, request)
		if row := fmt.Sprintf("| `%s` | %d |", reason, response.Code); !strings.Contains(rows, row) {
			t.Errorf("the page lacks the row %s", row)
		}
	}
}

// TestEvents guards against automatic changes of the leader whose reason the
// operations page does not explain.
func TestEvents(t *testing.T) {
	text := pageSection(t, readPage(t, operationsPage), "### status -events")
	found := 0
	for _, directory := range []string{"../plan", "../ctrl"} {
		inspectPackage(t, directory, func(n ast.Node) {
			call, ok := n.(*ast.CallExpr)
			if !ok || !strings.HasSuffix(qualifiedName(call.Fun), "NewChange") || len(call.Args) != 2 {
				return
			}
			if literal, ok := call.Args[1].(*ast.BasicLit); ok {
				found++
				if reason := strings.Trim(literal.Value, `"`); !strings.Contains(text, "`"+reason+"`") {
					t.Errorf("the page does not explain %s", reason)
				}
			}
		})
	}
	if found == 0 {
		t.Error("no changes of the leader were found in the code")
	}
}

// TestExitCodes guards against differences between the exit codes of the commands
// and those in the operations page.
func TestExitCodes(t *testing.T) {
	text := pageSection(t, readPage(t, operationsPage), "## Exit codes")
	want := typedConstants(t, ".", "subcommands.ExitStatus")
	for _, s := range []subcommands.ExitStatus{subcommands.ExitSuccess, subcommands.ExitFailure, subcommands.ExitUsageError} {
		want = append(want, strconv.Itoa(int(s)))
	}
	var got []string
	for _, match := range regexp.MustCompile(`(?m)^\| (\d+) \|`).FindAllStringSubmatch(text, -1) {
		got = append(got, match[1])
	}
	slices.Sort(want)
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Errorf("the page has the exit codes %v, the commands have %v", got, want)
	}
}
