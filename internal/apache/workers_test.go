package apache

import (
	"strings"
	"testing"
)

func workers(t *testing.T, files ...string) *Workers {
	t.Helper()
	var p Properties
	for i, f := range files {
		if err := p.Read(string(rune('a'+i)), []byte(f)); err != nil {
			t.Fatal(err)
		}
	}
	return ReadWorkers(p)
}

// An invalid property is reported with its position, and a misspelt directive with a suggestion.
func TestWorkerFaults(t *testing.T) {
	for text, want := range map[string]string{
		"worker.a.lbfactr=2":             `"lbfactr" is not a directive of mod_jk; did you mean "lbfactor"?`,
		"worker.a.hots=h":                `did you mean "host"?`,
		"worker.a.prot=1":                `did you mean "port"?`,
		"worker.a.weight=1":              `"weight" is not a directive of mod_jk`,
		"worker.lst=a":                   `did you mean "list"?`,
		"worker.a.port=80a":              `"80a" is not a number`,
		"worker.a.lbfactor=-1":           `"-1" is not a number`,
		"worker.a.sticky_session=maybe":  `neither true nor false`,
		"worker.lb.balance_workers= , ":  `is an empty list`,
		"worker.a b.port=1":              `a name with a space`,
		"worker.a/b.port=1":              `is not a valid worker name`,
		"wroker.a.port=1":                `does not start with worker.`,
		"worker.a.lbfactor=99999999999":  `is not a number`,
		"worker.a.port=$(unset)":         `names the macro "unset"`,
		"# only a comment\nworker.a.x.y": `is not name=value`,
	} {
		w := workers(t, text)
		if len(w.Faults) != 1 || !strings.Contains(w.Faults[0].Fault, want) || w.Faults[0].Line == 0 {
			t.Errorf("%s: %+v, want %s", text, w.Faults, want)
		}
	}
	if w := workers(t, "h=x\nworker.a.distance=-1\nworker.a.STICKY=1\nworker.a.sticky_session=True"); len(w.Faults) != 1 {
		t.Errorf("%+v", w.Faults)
	}
}

// Lists are concatenated over lines and files; of other directives the last line applies, and the overridden ones are
// returned.
func TestSettings(t *testing.T) {
	w := workers(t, "worker.list=lb\nworker.lb.type=lb\nworker.lb.balance_workers=a\nworker.a.lbfactor=2\n",
		"worker.lb.balance_workers=b,a\nworker.list=jk, more\nworker.a.lbfactor=3\n"+
			"worker.t.port=8009\nworker.t.reference=base\n"+
			"worker.base.host=h\nworker.base.port=1\nworker.a.reference=worker.t\nworker.base.balance_workers=x\n")
	effective, overridden, err := w.Settings("a")
	if err != nil || len(overridden) != 1 || overridden[0].Pos.String() != "a:4:1" || overridden[0].Value != "2" {
		t.Fatal(overridden, err)
	}
	for directive, want := range map[string]string{"lbfactor": "3 a", "port": "8009 t", "host": "h base"} {
		if s := effective[directive]; len(s) != 1 || s[0].Value+" "+s[0].From != want {
			t.Errorf("%s: %+v, want %s", directive, s, want)
		}
	}
	effective, _, err = w.Settings("lb")
	if err != nil || len(effective["balance_workers"]) != 2 || effective["balance_workers"][1].File != "b" {
		t.Fatal(effective, err)
	}
	var listed []string
	for _, x := range w.All() {
		if x.Listed {
			listed = append(listed, x.Name)
		}
	}
	if strings.Join(listed, " ") != "jk lb more" {
		t.Fatal(listed)
	}
}

func TestReferences(t *testing.T) {
	if _, _, err := workers(t, "worker.a.host=h").Settings("b"); err == nil {
		t.Error("an unknown worker was accepted")
	}
	for text, want := range map[string]string{
		"worker.a.reference=a": "f:1:1: reference: a refers back to a",
		"worker.a.reference=b\nworker.b.reference=c\nworker.c.reference=b": "f:3:1: reference: a -> b -> c refers back to b",
		"worker.a.reference=b": `f:1:1: reference: there is no worker "b"`,
		"worker.a.reference=b\nworker.a.reference=worker.c\nworker.c.host=h\n": "",
	} {
		w := workers(t, text)
		_, _, err := w.Settings("a")
		if got := ""; err != nil {
			got = strings.Replace(err.Error(), "a:", "f:", 1)
			if got != want {
				t.Errorf("%q: %s, want %s", text, got, want)
			}
		} else if want != "" {
			t.Errorf("%q: no error, want %s", text, want)
		}
	}
}
