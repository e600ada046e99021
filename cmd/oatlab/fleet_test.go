package main

import (
	"strings"
	"testing"
)

// Counts of two balancers are added by second, and a line that was truncated when its balancer was killed is ignored.
func TestFleetAddsCounts(t *testing.T) {
	c := newTraceCounts()
	for _, trace := range []string{
		`time=x level=DEBUG msg=opened of=2 id=a key=k class=chat mid=true at=false us=1796145833158053
time=x level=DEBUG msg=dial of=2 attempt=0 region=r1 us=1796145833160000
time=x level=DEBUG msg=task-ended of=2 attempt=0 how=3 us=1796145833170000
time=x level=DEBUG msg=answer of=2 short=true us=1796145834000000`,
		`time=x level=DEBUG msg=probed region=r1 result=0 x=0.5 held=9 us=1796145833500000
time=x level=INFO msg=reloaded discovery=d
time=x level=DEBUG msg=probe region=r1 dials=true us=1796145834000001
time=x level=DEBUG msg=move of=7 us=17961458`,
	} {
		if err := c.readTrace(strings.NewReader(trace)); err != nil {
			t.Fatal(err)
		}
	}
	var out strings.Builder
	c.print(&out, 2, true)
	for _, want := range []string{
		"| 0 | 1 | 1 | 1 | 0 | 0 | 1 | 0 | 0 | 0 | 0 | 0 | 0 | 0 | 0 | 0 | 0 |",
		"| 1 | 0 | 0 | 0 | 0 | 0 | 0 | 0 | 0 | 1 | 0 | 0 | 1 | 1 | 0 | 0 | 0 |",
		"r1  1/0.50  0/-",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no line %q in\n%s", want, out.String())
		}
	}
}

// Refusals are classified by cause and by the servers with free capacity at the time. A load report to one balancer is
// used for the refusals of another one for a second.
func TestFleetClassifiesRefusals(t *testing.T) {
	c := newTraceCounts()
	for _, trace := range []string{
		`level=DEBUG msg=region region=cold state=0 warm=1796145843000000 us=1796145833000000
level=DEBUG msg=region region=warm state=0 warm=0 us=1796145833000000
level=DEBUG msg=probed region=cold result=0 x=0.2 held=1 us=1796145833100000
level=DEBUG msg=probed region=warm result=0 x=0.9 held=90 us=1796145833100000
level=DEBUG msg=probed region=warm result=0 x=0.5 held=50 us=1796145834900000`,
		`level=DEBUG msg=opened of=2 key=k class=chat mid=false us=1796145833000001
level=DEBUG msg=dial of=2 attempt=0 region=warm us=1796145833000002
level=DEBUG msg=drop of=2 attempt=0 why=connect us=1796145833300000
level=DEBUG msg=answer of=2 short=true why=none us=1796145833300001
level=DEBUG msg=opened of=3 key=k class=chat mid=false us=1796145834500000
level=DEBUG msg=answer of=3 short=true why=full us=1796145834800000
level=DEBUG msg=opened of=4 key=j class=chat mid=false us=1796145834910000
level=DEBUG msg=answer of=4 short=true why=lot us=1796145834910001`,
	} {
		if err := c.readTrace(strings.NewReader(trace)); err != nil {
			t.Fatal(err)
		}
	}
	var out strings.Builder
	c.printCauses(&out)
	for _, want := range []string{
		"|    0 | chat | asked 1 refused-none-cold-room 1 |",
		"|    1 | chat | again 1 asked 2 refused-full-no-room 1 refused-lot-warm-room 1 |",
		"|    0 | warm | dial 1 dropped-connect 1 |",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no line %q in\n%s", want, out.String())
		}
	}
}
