package apache

import (
	"fmt"
	"strings"
	"testing"
)

// Each text is parsed completely: valid lines into name=value, the others into faults, each with its position.
func TestProperties(t *testing.T) {
	for name, x := range map[string]struct{ text, want string }{
		"plain":        {"worker.list=a\n", `1:1 worker.list="a"`},
		"spaces":       {"  worker.a.host =  h  \n", `1:3 worker.a.host="h"`},
		"comments":     {"# c\n\n#x=1\na=b\n  # d\n", `4:1 a="b"`},
		"continued":    {"worker.list=a,\\\n  b,\\\r\n c\nx=1\n", `1:1 worker.list="a,  b, c"` + "\n" + `4:1 x="1"`},
		"last line":    {"a=b\\", `1:1 a="b"`},
		"crlf and bom": {"\xef\xbb\xbfa=b\r\nc=d\r\n", `1:1 a="b"` + "\n" + `2:1 c="d"`},
		"latin-1":      {"a=caf\xe9", `1:1 a="café"`},
		"equals":       {"a=b=c", `1:1 a="b=c"`},
		"empty value":  {"a=", `1:1 a=""`},
		"macro": {"h=example\nworker.a.host=$(h).org\nb=$(worker.a.host)/$( h )",
			`1:1 h="example"` + "\n" + `2:1 worker.a.host="example.org"` + "\n" + `3:1 b="example.org/example"`},
		"later wins": {"h=1\nh=2\na=$(h)", `1:1 h="1"` + "\n" + `2:1 h="2"` + "\n" + `3:1 a="2"`},
		"builds up":  {"h=1\nh=$(h)2", `1:1 h="1"` + "\n" + `2:1 h="12"`},

		"unset macro": {"a=$(b)\nb=1", `1:1 a: names the macro "b", which nothing sets before it` + "\n" + `2:1 b="1"`},
		"itself":      {"a=$(a)", `1:1 a: names the macro "a", which nothing sets before it`},
		"a cycle": {"a=$(b)\nb=$(a)", `1:1 a: names the macro "b", which nothing sets before it` + "\n" +
			`2:1 b: names the macro "a", which nothing sets before it`},
		"open macro": {"a=$(b", `1:1 a: opens a macro that it doesn't close: "$(b"`},
		"no value":   {"worker.list", `1:1 : is not name=value`},
		"no name":    {"=x", `1:1 : has no name before =`},
		"two words":  {"a b=x", `1:1 a b: has a name with a space in it`},
		"nul":        {"a=b\x00c", `1:1 a: holds a NUL byte`},
		"long": {"a=" + strings.Repeat("x", 1<<20) + "\nb=1",
			`1:1 a: longer than 65536 bytes` + "\n" + `2:1 b="1"`},
		"long, continued": {strings.Repeat("a="+strings.Repeat("x", 1000)+"\\\n", 100) + "\nb=1",
			`1:1 a: longer than 65536 bytes` + "\n" + `102:1 b="1"`},
	} {
		var p Properties
		if err := p.Read("f", []byte(x.text)); err != nil {
			t.Error(name, err)
			continue
		}
		var got []string
		for _, v := range p.All() {
			line := fmt.Sprintf("%d:%d %s=%q", v.Line, v.Col, v.Name, v.Value)
			if v.Fault != "" {
				line = fmt.Sprintf("%d:%d %s: %s", v.Line, v.Col, v.Name, v.Fault)
			}
			got = append(got, line)
		}
		if strings.Join(got, "\n") != x.want {
			t.Errorf("%s:\n%s\nwant\n%s", name, strings.Join(got, "\n"), x.want)
		}
	}
}

// Macros that double each other's values stop at the limit, before they exhaust the memory.
func TestMacrosAreBounded(t *testing.T) {
	text := "a0=xxxxxxxxxx\n"
	for i := range 60 {
		text += fmt.Sprintf("a%d=$(a%d)$(a%d)\n", i+1, i, i)
	}
	var p Properties
	if err := p.Read("f", []byte(text)); err != nil {
		t.Fatal(err)
	}
	faults := 0
	for _, v := range p.All() {
		if len(v.Value) > MaxValue {
			t.Fatal(len(v.Value))
		}
		if v.Fault != "" {
			faults++
		}
	}
	if faults < 40 {
		t.Fatal(faults)
	}
	if err := p.Read("f", make([]byte, MaxFile+1)); err == nil {
		t.Fatal("a file over the size limit was accepted")
	}
}

// No text makes the parser panic, every logical line becomes one property, and values stay within the limit.
func FuzzProperties(f *testing.F) {
	for _, s := range []string{"worker.list=a\n", "a=$(b)\\\n", "\xef\xbb\xbf#\r\n=", "h=1\na=$(h)$(h)\n", "a=\x00\xff"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var p Properties
		if err := p.Read("f", body); err != nil {
			return
		}
		lines, err := Lines("f", body)
		if err != nil || len(lines) != len(p.All()) {
			t.Fatal(err, len(lines), len(p.All()))
		}
		for i, v := range p.All() {
			if len(v.Value) > MaxValue || v.Line < 1 || v.Col < 1 || i > 0 && v.Line <= p.All()[i-1].Line {
				t.Fatalf("%+v", v)
			}
			if v.Fault == "" && strings.Contains(v.Raw, "$(") && strings.Contains(v.Value, "$(") &&
				!strings.Contains(v.Raw, ")") {
				t.Fatalf("a macro was not expanded: %+v", v)
			}
		}
	})
}
