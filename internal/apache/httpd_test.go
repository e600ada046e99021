package apache

import (
	"fmt"
	"strings"
	"testing"
	"testing/fstest"
)

func writeTree(b *strings.Builder, nodes []*Node, indent string) {
	for _, n := range nodes {
		fmt.Fprintf(b, "%s%s:%d %s %q", indent, n.File, n.Line, n.Name, n.Args)
		if n.Skipped != "" {
			b.WriteString(" skipped")
		}
		if n.Fault != "" {
			b.WriteString(" ! " + n.Fault)
		}
		b.WriteString("\n")
		writeTree(b, n.Children, indent+"  ")
	}
}

// The result is a tree of all directives, including skipped and invalid ones.
func TestHttpd(t *testing.T) {
	files := fstest.MapFS{}
	for name, text := range map[string]string{
		"conf/httpd.conf": "ServerName \"a \\\"b\\\" c\" 'd e' \\\n  f\n" +
			"<Proxy balancer://x>\n  balancermember http://h:80 loadfactor=1.5\n</proxy>\n" +
			"Define H example\nServerAlias ${H}.org ${NONE}\n<IfDefine !H>\nA b\n</IfDefine>\n" +
			"<IfModule mod_x.c>\n<Location />\nC d\n</Location>\n</IfModule>\n" +
			"Include extra/*.conf\nIncludeOptional none/*.conf\nInclude none.conf\n" +
			"Include ../../etc/passwd\n</Proxy>\nX \"open\n<Location",
		"conf/extra/1.conf": "Loop 1\nInclude /conf/extra/1.conf\n",
		"conf/extra/2.conf": "<VirtualHost *:80>\nNever closed\n",
	} {
		files[name] = &fstest.MapFile{Data: []byte(text)}
	}
	h := Httpd{Root: files, Base: "conf"}
	nodes, err := h.Read("conf/httpd.conf")
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	writeTree(&b, nodes, "")
	got := strings.ReplaceAll(b.String(), "conf/httpd.conf:", "")
	want := `1 ServerName ["a \"b\" c" "d e" "f"]
3 Proxy ["balancer://x"]
  4 balancermember ["http://h:80" "loadfactor=1.5"]
6 Define ["H" "example"]
7 ServerAlias ["example.org" "${NONE}"] ! names the variable "NONE", which nothing defines before it
8 IfDefine ["!H"]
  9 A ["b"] skipped
11 IfModule ["mod_x.c"]
  12 Location ["/"] skipped
    13 C ["d"] skipped
16 Include ["extra/*.conf"]
  conf/extra/1.conf:1 Loop ["1"]
  conf/extra/1.conf:2 Include ["/conf/extra/1.conf"] ! conf/httpd.conf -> ` +
		`conf/extra/1.conf -> conf/extra/1.conf includes itself
  conf/extra/2.conf:1 VirtualHost ["*:80"] ! is never closed in its file
    conf/extra/2.conf:2 Never ["closed"]
17 IncludeOptional ["none/*.conf"]
18 Include ["none.conf"] ! "none.conf" names no file within the root that was given
19 Include ["../../etc/passwd"] ! "../../etc/passwd" may lead out of the root that was given
20 </Proxy> [] ! closes Proxy, which is not open here
21 X ["open"] ! opens a quote that it does not close
22 Location [] ! is never closed in its file
`
	if want = strings.Replace(want, "22 Location [] ! is never closed in its file",
		"22 Location [] ! opens a section without >", 1); got != want {
		t.Fatalf("got\n%s", got)
	}
}

// No input makes the parser panic or exceed its limits.
func FuzzHttpd(f *testing.F) {
	for _, s := range []string{"<Proxy balancer://x>\nBalancerMember a b=1\n</Proxy>", "Define A ${A}\nInclude f",
		"<A>\n<B>\n</A>", "\"a\\\" 'b", "</", "<", "<>"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		h := Httpd{Root: fstest.MapFS{"f": {Data: body}, "g": {Data: []byte("Include f\n")}}}
		nodes, err := h.Read("f")
		if err != nil {
			return
		}
		var b strings.Builder
		writeTree(&b, nodes, "")
	})
}
