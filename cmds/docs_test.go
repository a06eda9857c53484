package cmds

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"go/ast"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/subcommands"

	"rhubarbrack/codec"
	"rhubarbrack/conf"
	"rhubarbrack/load"
	"rhubarbrack/stand"
	"rhubarbrack/tasks"
)

const operationsPage = "../docs/OPERATIONS.md"

var pages = []string{"../README.md", operationsPage, "../docs/glossary.md", "../docs/design.md", "../CONTRIBUTING.md"}

func readPage(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// codeBlocks returns the fenced code blocks of a page in a language, without the
// indentation of their fence.
func codeBlocks(page, language string) []string {
	var out []string
	var current strings.Builder
	open, selected, indent := false, false, ""
	for line := range strings.Lines(page) {
		text := strings.TrimSpace(line)
		switch {
		case !open && strings.HasPrefix(text, "```"):
			open, selected = true, text == "```"+language
			indent = line[:strings.Index(line, "`")]
		case open && text == "```":
			if selected {
				out = append(out, current.String())
			}
			open = false
			current.Reset()
		case open:
			current.WriteString(strings.TrimPrefix(line, indent))
		}
	}
	return out
}

var inlineCommand = regexp.MustCompile("`(rhubarbrack [^`]+)`")

// commandLines returns the arguments of each rhubarbrack command line in the shell
// blocks and the inline code of a page.
func commandLines(page string) [][]string {
	var lines []string
	for _, block := range codeBlocks(page, "sh") {
		lines = append(lines, strings.Split(block, "\n")...)
	}
	for _, match := range inlineCommand.FindAllStringSubmatch(page, -1) {
		lines = append(lines, match[1])
	}
	var out [][]string
	for _, line := range lines {
		line, _, _ = strings.Cut(line, " #")
		line = strings.TrimSuffix(strings.TrimSpace(line), " &")
		for _, program := range []string{"rhubarbrack ", "go run . "} {
			if args, ok := strings.CutPrefix(line, program); ok {
				out = append(out, strings.Fields(args))
			}
		}
	}
	return out
}

// registeredCommands returns the commands by name.
func registeredCommands() map[string]subcommands.Command {
	commander := subcommands.NewCommander(flag.NewFlagSet("rhubarbrack", flag.ContinueOnError), "rhubarbrack")
	register(commander, console{out: io.Discard, errOut: io.Discard})
	out := make(map[string]subcommands.Command)
	commander.VisitCommands(func(_ *subcommands.CommandGroup, c subcommands.Command) { out[c.Name()] = c })
	return out
}

// TestCommandLines guards against command lines in the pages whose command,
// flags, arguments or files do not exist, and against commands that no page
// shows. Commands for operators run against an API that refuses every call, so
// that they fail only on wrong usage or missing files. For the others, the test
// checks the arguments and files without starting a process.
func TestCommandLines(t *testing.T) {
	api := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusUnauthorized)
		_, _ = io.WriteString(w, `{"reason":"token-invalid"}`)
	}))
	defer api.Close()
	t.Setenv("RHUBARBRACK_CONTROL", api.URL)
	t.Setenv("RHUBARBRACK_ENTRIES", api.URL)
	t.Setenv("RHUBARBRACK_AUTHORITY", "")
	var lines [][]string
	for _, page := range pages[:3] {
		lines = append(lines, commandLines(readPage(t, page))...)
	}
	t.Chdir("..")
	commands, documented := registeredCommands(), make(map[string]bool)
	for _, line := range lines {
		name := strings.Join(line, " ")
		c, ok := commands[line[0]]
		if !ok {
			t.Errorf("%s: there is no such command", name)
			continue
		}
		documented[line[0]] = true
		if err := checkCommandLine(c, line); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name := range commands {
		if !documented[name] {
			t.Errorf("no page shows the command %s", name)
		}
	}
}

// checkCommandLine checks the flags, arguments and files of one command line.
func checkCommandLine(c subcommands.Command, line []string) error {
	f := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
	f.SetOutput(io.Discard)
	c.SetFlags(f)
	if err := f.Parse(line[1:]); err != nil {
		return fmt.Errorf("flags: %w", err)
	}
	switch c := c.(type) {
	case *roleCommand:
		s, err := conf.Load(c.settingsFile)
		if err == nil && s.Role() != c.role {
			err = fmt.Errorf("role %s", s.Role())
		}
		return err
	case *platformCommand:
		// The settings come from the platform only.
		if f.NArg() != 0 || f.NFlag() != 0 {
			return errors.New("takes no flags and no arguments")
		}
		return nil
	case *targetCommand:
		if len(splitList(c.zones)) != len(splitList(c.regions)) || f.NArg() != 0 {
			return errors.New("zones and regions differ in length, or there are arguments")
		}
		return nil
	case *devCommand:
		if f.NArg() != 1 {
			return errors.New("want one sample file")
		}
		_, err := readDocuments(f.Args())
		return err
	}
	switch c.Name() {
	case "load":
		return checkPlan(f.Lookup("plan").Value.String())
	case "stand":
		return checkStandIns(f.Lookup("spec").Value.String())
	}
	return runCommandLine(c.Name(), line)
}

func checkPlan(name string) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	_, err = load.ReadPlan(bytes.NewReader(data))
	return err
}

// checkStandIns starts the stand-ins of a file, on free ports instead of the ones
// in the file.
func checkStandIns(name string) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	text := regexp.MustCompile(`127\.0\.0\.1:\d+`).ReplaceAllString(string(data), "127.0.0.1:0")
	system := tasks.NewSystem(slog.New(slog.NewTextHandler(io.Discard, nil)))
	defer system.Shutdown()
	f, err := stand.StartFleet(context.Background(), system, strings.NewReader(text))
	if err != nil {
		return err
	}
	f.Close()
	return nil
}

// runCommandLine runs a command line and checks its exit code: success for check,
// and a refusal by the API for the others.
func runCommandLine(name string, line []string) error {
	var errs bytes.Buffer
	want := int(exitRefused)
	if name == "check" {
		want = int(subcommands.ExitSuccess)
	}
	if got := Run(context.Background(), line, io.Discard, &errs); got != want {
		return fmt.Errorf("exit code %d, want %d: %s", got, want, errs.String())
	}
	return nil
}

// TestYAMLBlocks guards against settings and documents in the pages and in the
// sample folder that do not decode, and against kinds without an example.
func TestYAMLBlocks(t *testing.T) {
	var texts []string
	for _, page := range pages {
		texts = append(texts, codeBlocks(readPage(t, page), "yaml")...)
	}
	files, err := filepath.Glob("../sample/first-day/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no settings files in sample/first-day: %v", err)
	}
	for _, f := range append(files, "../sample/dev.yaml") {
		texts = append(texts, readPage(t, f))
	}
	kinds := make(map[string]bool)
	for _, text := range texts {
		if isSettings(text) {
			s, err := conf.Decode([]byte(text))
			if err != nil {
				t.Errorf("%v in:\n%s", err, text)
				continue
			}
			kinds[string(s.Role())] = true
			continue
		}
		documents, err := codec.DecodeDocuments([]byte(text))
		if err != nil || len(documents) == 0 {
			t.Errorf("%d documents, %v in:\n%s", len(documents), err, text)
		}
		for _, d := range documents {
			kinds[string(d.Document().Kind())] = true
		}
	}
	for _, want := range []string{"entry", "control", "fleet", "team", "profile", "service"} {
		if !kinds[want] {
			t.Errorf("no page shows an example of %s", want)
		}
	}
}

// TestFields guards against fields of settings and documents that are missing
// from the reference in the operations page.
func TestFields(t *testing.T) {
	page := readPage(t, operationsPage)
	cases := []struct{ name, directory, heading string }{
		{"settings", "../conf", "## Settings reference"},
		{"documents", "../codec", "## Documents reference"},
	}
	for _, c := range cases {
		var fields []string
		inspectPackage(t, c.directory, func(n ast.Node) {
			field, ok := n.(*ast.Field)
			if !ok || field.Tag == nil {
				return
			}
			tag := reflect.StructTag(strings.Trim(field.Tag.Value, "`")).Get("yaml")
			if name, _, _ := strings.Cut(tag, ","); name != "" {
				fields = append(fields, name)
			}
		})
		if len(fields) == 0 {
			t.Errorf("%s: no fields were found in the code", c.name)
		}
		text := pageSection(t, page, c.heading)
		for _, name := range fields {
			if !regexp.MustCompile("[`.]" + name + "[`.]").MatchString(text) {
				t.Errorf("%s: the page does not explain the field %s", c.name, name)
			}
		}
	}
}

// TestLinks guards against links to pages and headings that do not exist.
func TestLinks(t *testing.T) {
	link := regexp.MustCompile(`\]\(([^)#]*)(#[^)]*)?\)`)
	for _, path := range pages {
		page := readPage(t, path)
		for _, match := range link.FindAllStringSubmatch(page, -1) {
			linkedPath, text := path, page
			if match[1] != "" {
				linkedPath = filepath.Join(filepath.Dir(path), match[1])
				text = readPage(t, linkedPath)
			}
			if match[2] != "" && !slices.Contains(anchors(text), match[2]) {
				t.Errorf("%s: %s has no heading for %s", path, linkedPath, match[2])
			}
		}
	}
}

// anchors returns the link anchors of the headings of a page.
func anchors(page string) []string {
	var out []string
	for line := range strings.Lines(page) {
		if heading, ok := strings.CutPrefix(strings.TrimLeft(line, "#"), " "); ok && strings.HasPrefix(line, "#") {
			heading = strings.ToLower(strings.TrimSpace(heading))
			out = append(out, "#"+regexp.MustCompile("[^a-z0-9 -]").ReplaceAllString(strings.ReplaceAll(heading, " ", "-"), ""))
		}
	}
	return out
}
