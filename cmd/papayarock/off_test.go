package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/semaphore"
)

const (
	scriptDir = "../../internal/scenario/testdata/promises"
	// offVariable names the variant to a process of the altered build.
	offVariable = "PAPAYAROCK_OFF"
	// offAtOnce bounds the scripts that run at the same time.
	offAtOnce = 6
	// offLimit bounds one script. The longest wait of a script is below it.
	offLimit = 100 * time.Second
)

var runOff = flag.Bool("off", false, "run all scripts with their mechanism switched off, not only the short ones")

// edit replaces text that occurs exactly once in a source file.
type edit struct{ file, old, new string }

// variant is a mechanism switched off. The edits ask off.Is with the name of
// the variant.
type variant struct {
	script string   // without its ending
	steps  []string // the script must fail at a line that is one of these; if empty, pass
	edits  []edit
	short  bool // runs without -off
}

// offSource is a package that exists only in the altered build, so that nothing
// in the repository can be switched off.
const offSource = `// Package off says which mechanism a test has switched off.
package off

import "os"

// Name is the variant under test; empty for none.
var Name = os.Getenv("` + offVariable + `")

// Is says whether the variant is under test.
func Is(name string) bool { return Name == name }
`

// Guards against scripts that cannot fail: with exactly the mechanism of a
// promise or fault switched off, its script must fail at the step that checks
// it. One test binary is built with an overlay of edited sources and run once
// for each variant; the sources in the repository hold no switch.
func TestPromisesWithMechanismOff(t *testing.T) {
	t.Parallel()
	root, err := filepath.Abs("../..")
	is.New(t).NoErr(err)
	overlay := alter(t, root)
	binary := filepath.Join(t.TempDir(), "promises.test")
	build := exec.Command("go", "test", "-vet", "off", "-c", "-overlay", overlay, "-o", binary, ".")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	slots := semaphore.NewWeighted(offAtOnce)
	for name, v := range variants {
		if !v.short && !*runOff {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			is.NoErr(slots.Acquire(t.Context(), 1))
			defer slots.Release(1)
			mustFail(t, binary, name, v)
		})
	}
}

// Guards against a row of docs/promises.md whose script no variant covers.
func TestEachScriptHasVariant(t *testing.T) {
	covered := make(map[string]bool)
	for _, v := range variants {
		covered[v.script] = true
	}
	scripts, err := filepath.Glob(scriptDir + "/*.txtar")
	is.New(t).NoErr(err)
	for _, s := range scripts {
		name := strings.TrimSuffix(filepath.Base(s), ".txtar")
		if !covered[name] && !strings.HasPrefix(name, "pair-") && withoutVariant[name] == "" {
			t.Errorf("%s has no variant", name)
		}
	}
}

// alter writes the edited sources and returns the overlay file for go build.
func alter(t *testing.T, root string) string {
	t.Helper()
	texts := make(map[string]string)
	for name, v := range variants {
		for _, e := range v.edits {
			if _, ok := texts[e.file]; !ok {
				b, err := os.ReadFile(filepath.Join(root, e.file))
				is.New(t).NoErr(err)
				texts[e.file] = importOff(string(b))
			}
			if n := strings.Count(texts[e.file], e.old); n != 1 {
				t.Fatalf("variant %q: %s has %d times the text %q, want 1", name, e.file, n, e.old)
			}
			texts[e.file] = strings.Replace(texts[e.file], e.old, e.new, 1)
		}
	}
	// Processes that a script starts are under the same variant.
	const setup = "internal/scenario/scenario.go"
	b, err := os.ReadFile(filepath.Join(root, setup))
	is.New(t).NoErr(err)
	const mark = "\tst.vars = env.Vars\n"
	is.New(t).Equal(strings.Count(string(b), mark), 1)
	texts[setup] = strings.Replace(importOff(string(b)), mark, "\tenv.Setenv(\""+offVariable+"\", off.Name)\n"+mark, 1)
	texts["internal/off/off.go"] = offSource

	dir := t.TempDir()
	replace := make(map[string]string)
	for file, text := range texts {
		copied := filepath.Join(dir, strings.ReplaceAll(file, "/", "_"))
		is.New(t).NoErr(os.WriteFile(copied, []byte(text), 0o600))
		replace[filepath.Join(root, file)] = copied
	}
	b, err = json.Marshal(map[string]any{"Replace": replace})
	is.New(t).NoErr(err)
	overlay := filepath.Join(dir, "overlay.json")
	is.New(t).NoErr(os.WriteFile(overlay, b, 0o600))
	return overlay
}

var packageClause = regexp.MustCompile(`(?m)^package \w+$`)

func importOff(text string) string {
	at := packageClause.FindStringIndex(text)[1]
	return text[:at] + "\n\nimport \"papayarock/internal/off\"\n" + text[at:]
}

func runScript(binary, name, script string) ([]byte, error) {
	c := exec.Command(binary, "-test.v", "-test.timeout", offLimit.String(), "-test.run", "^TestPromises$/^"+script+"$")
	c.Env = append(os.Environ(), offVariable+"="+name)
	return c.CombinedOutput()
}

func mustFail(t *testing.T, binary, name string, v variant) {
	t.Helper()
	out, err := runScript(binary, name, v.script)
	if len(v.steps) == 0 {
		if err != nil {
			t.Fatalf("%s fails: %v\n%s", v.script, err, out)
		}
		return
	}
	if err == nil {
		t.Fatalf("%s passes\n%s", v.script, out)
	}
	line, step, ok := failedStep(v.script, string(out))
	if !ok {
		t.Fatalf("%s: %v without a failed step\n%s", v.script, err, out)
	}
	for _, s := range v.steps {
		if s == step {
			t.Logf("%s:%d: %s", v.script, line, step)
			return
		}
	}
	t.Fatalf("%s fails at line %d, %q, want %q\n%s", v.script, line, step, v.steps, out)
}

// failedStep returns the line of a script at which its run failed.
func failedStep(script, out string) (int, string, bool) {
	found := regexp.MustCompile(`FAIL: \S*` + regexp.QuoteMeta(script) + `\.txtar:(\d+): `).FindStringSubmatch(out)
	if found == nil {
		return 0, "", false
	}
	text, err := os.ReadFile(filepath.Join(scriptDir, script+".txtar"))
	if err != nil {
		return 0, fmt.Sprint(err), true
	}
	n, _ := strconv.Atoi(found[1]) // digits by the expression
	lines := strings.Split(string(text), "\n")
	if n < 1 || n > len(lines) {
		return n, "", false
	}
	return n, lines[n-1], true
}
