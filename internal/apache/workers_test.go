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

// What is wrong with a property is said with its place, a typo with what was meant, and all of them add up.
func TestWorkerFaults(t *testing.T) {
	for text, want := range map[string]string{
		"worker.a.lbfactr=2":             `"lbfactr" is no directive of mod_jk; did you mean "lbfactor"?`,
		"worker.a.hots=h":                `did you mean "host"?`,
		"worker.a.prot=1":                `did you mean "port"?`,
		"worker.a.weight=1":              `"weight" is no directive of mod_jk`,
		"worker.lst=a":                   `did you mean "list"?`,
		"worker.a.port=80a":              `"80a" is no number`,
		"worker.a.lbfactor=-1":           `"-1" is no number`,
		"worker.a.sticky_session=maybe":  `neither true nor false`,
		"worker.lb.balance_workers= , ":  `is an empty list`,
		"worker.a b.port=1":              `a name with a space`,
		"worker.a/b.port=1":              `is no worker's name`,
		"wroker.a.port=1":                `begins with no worker.`,
		"worker.a.lbfactor=99999999999":  `is no number`,
		"worker.a.port=$(unset)":         `names the macro "unset"`,
		"# only a comment\nworker.a.x.y": `is no name=value`,
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

// Lists add up over lines and files; of anything else the last line holds, and what it overrides is told.
func TestSettings(t *testing.T) {
	w := workers(t, "worker.list=lb\nworker.lb.type=lb\nworker.lb.balance_workers=a\nworker.a.lbfactor=2\n",
		"worker.lb.balance_workers=b,a\nworker.list=jk, more\nworker.a.lbfactor=3\nworker.t.port=8009\nworker.t.reference=base\n"+
			"worker.base.host=h\nworker.base.port=1\nworker.a.reference=worker.t\nworker.base.balance_workers=x\n")
	held, over, err := w.Settings("a")
	if err != nil || len(over) != 1 || over[0].Pos.String() != "a:4:1" || over[0].Value != "2" {
		t.Fatal(over, err)
	}
	for directive, want := range map[string]string{"lbfactor": "3 a", "port": "8009 t", "host": "h base"} {
		if s := held[directive]; len(s) != 1 || s[0].Value+" "+s[0].From != want {
			t.Errorf("%s: %+v, want %s", directive, s, want)
		}
	}
	held, _, err = w.Settings("lb")
	if err != nil || len(held["balance_workers"]) != 2 || held["balance_workers"][1].File != "b" {
		t.Fatal(held, err)
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
		t.Error("a worker that nobody named")
	}
	for text, want := range map[string]string{
		"worker.a.reference=a": "f:1:1: reference: a comes back to a",
		"worker.a.reference=b\nworker.b.reference=c\nworker.c.reference=b": "f:3:1: reference: a -> b -> c comes back to b",
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
