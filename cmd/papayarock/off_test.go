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
	// variantEnv is the environment variable that tells a process of the edited
	// build which variant it runs.
	variantEnv         = "PAPAYAROCK_OFF"
	maxParallelScripts = 6
	// scriptTimeout bounds one script. It is above the longest wait in a script, so
	// that a wait that ends without success is reported as the failed step.
	scriptTimeout = 100 * time.Second
)

var runAllVariants = flag.Bool("off", false, "run all scripts with their mechanism switched off, not only the short ones")

// edit replaces a text that must occur exactly once in a source file.
type edit struct{ file, old, new string }

// variant is a run of a script with one mechanism switched off. Its edits make the
// mechanism depend on off.Is with the name of the variant.
type variant struct {
	script string   // file name without .txtar
	steps  []string // the script must fail at one of these lines, or pass if there are none
	edits  []edit
	short  bool // also run without -off
}

// offSource is a package that exists only in the edited build, so that the product
// itself contains no switches.
const offSource = `// Package off reports which mechanism a test has switched off.
package off

import "os"

// Name is the variant under test; empty for none.
var Name = os.Getenv("` + variantEnv + `")

// Is reports whether the variant is under test.
func Is(name string) bool { return Name == name }
`

// Guards against scripts that cannot fail: with only the mechanism behind a
// promise or fault switched off, its script must fail at the step that checks it.
// One test binary is built with an overlay of edited sources and run once for each
// variant; the sources in the repository stay as they are.
func TestPromisesWithMechanismOff(t *testing.T) {
	t.Parallel()
	root, err := filepath.Abs("../..")
	is.New(t).NoErr(err)
	overlay := writeOverlay(t, root)
	binary := filepath.Join(t.TempDir(), "promises.test")
	build := exec.Command("go", "test", "-vet", "off", "-c", "-overlay", overlay, "-o", binary, ".")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	slots := semaphore.NewWeighted(maxParallelScripts)
	for name, v := range variants {
		if !v.short && !*runAllVariants {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			is.NoErr(slots.Acquire(t.Context(), 1))
			defer slots.Release(1)
			checkVariant(t, binary, name, v)
		})
	}
}

// Guards against a script that no variant covers. Scripts of two faults together
// (pair-*) and those in withoutVariant need none.
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

// writeOverlay writes the edited sources and returns the path of the overlay file
// for go build.
func writeOverlay(t *testing.T, root string) string {
	t.Helper()
	texts := make(map[string]string)
	for name, v := range variants {
		for _, e := range v.edits {
			if _, ok := texts[e.file]; !ok {
				b, err := os.ReadFile(filepath.Join(root, e.file))
				is.New(t).NoErr(err)
				texts[e.file] = addOffImport(string(b))
			}
			if n := strings.Count(texts[e.file], e.old); n != 1 {
				t.Fatalf("variant %q: %s contains %d occurrences of %q, want 1", name, e.file, n, e.old)
			}
			texts[e.file] = strings.Replace(texts[e.file], e.old, e.new, 1)
		}
	}
	// Processes that a script starts get the variant of the test binary in their
	// environment.
	const setupFile = "internal/scenario/scenario.go"
	b, err := os.ReadFile(filepath.Join(root, setupFile))
	is.New(t).NoErr(err)
	const setupLine = "\tst.vars = env.Vars\n"
	is.New(t).Equal(strings.Count(string(b), setupLine), 1)
	texts[setupFile] = strings.Replace(addOffImport(string(b)), setupLine, "\tenv.Setenv(\""+variantEnv+"\", off.Name)\n"+setupLine, 1)
	texts["internal/off/off.go"] = offSource

	dir := t.TempDir()
	replace := make(map[string]string)
	for file, text := range texts {
		editedFile := filepath.Join(dir, strings.ReplaceAll(file, "/", "_"))
		is.New(t).NoErr(os.WriteFile(editedFile, []byte(text), 0o600))
		replace[filepath.Join(root, file)] = editedFile
	}
	b, err = json.Marshal(map[string]any{"Replace": replace})
	is.New(t).NoErr(err)
	overlay := filepath.Join(dir, "overlay.json")
	is.New(t).NoErr(os.WriteFile(overlay, b, 0o600))
	return overlay
}

var packageClause = regexp.MustCompile(`(?m)^package \w+$`)

// addOffImport adds the import of package off after the package clause.
func addOffImport(text string) string {
	at := packageClause.FindStringIndex(text)[1]
	return text[:at] + "\n\nimport \"papayarock/internal/off\"\n" + text[at:]
}

// runScript runs a script with the edited build and returns the output of the run.
// The name is that of the variant.
func runScript(binary, name, script string) ([]byte, error) {
	c := exec.Command(binary, "-test.v", "-test.timeout", scriptTimeout.String(), "-test.run", "^TestPromises$/^"+script+"$")
	c.Env = append(os.Environ(), variantEnv+"="+name)
	return c.CombinedOutput()
}

// checkVariant runs the script of a variant and checks that it fails at one of the
// variant's steps, or passes if there are none.
func checkVariant(t *testing.T, binary, name string, v variant) {
	t.Helper()
	out, err := runScript(binary, name, v.script)
	if len(v.steps) == 0 {
		if err != nil {
			t.Fatalf("%s fails: %v\n%s", v.script, err, out)
		}
		return
	}
	if err == nil {
		t.Fatalf("%s passes, want a failure at one of %q\n%s", v.script, v.steps, out)
	}
	line, step, ok := failedStep(v.script, string(out))
	if !ok {
		t.Fatalf("%s failed, but its output names no failed step: %v\n%s", v.script, err, out)
	}
	for _, s := range v.steps {
		if s == step {
			t.Logf("%s:%d: %s", v.script, line, step)
			return
		}
	}
	t.Fatalf("%s fails at line %d, %q, want one of %q\n%s", v.script, line, step, v.steps, out)
}

// failedStep finds the line at which a script failed in the output of its run. It
// returns the line's number and text, and whether they were found. If the script
// cannot be read, the text is the error.
func failedStep(script, out string) (int, string, bool) {
	found := regexp.MustCompile(`FAIL: \S*` + regexp.QuoteMeta(script) + `\.txtar:(\d+): `).FindStringSubmatch(out)
	if found == nil {
		return 0, "", false
	}
	text, err := os.ReadFile(filepath.Join(scriptDir, script+".txtar"))
	if err != nil {
		return 0, fmt.Sprint(err), true
	}
	n, _ := strconv.Atoi(found[1]) // the expression matches digits only
	lines := strings.Split(string(text), "\n")
	if n < 1 || n > len(lines) {
		return n, "", false
	}
	return n, lines[n-1], true
}
