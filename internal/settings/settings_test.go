package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"oatloft/policy"
)

const nested = `{"zone":"nrb","balancers":3,"granularity-ms":5.0,"areas":["nrb","mba"],"empty":[],
 "membership-mode":"on_request",
 "classes":[{"name":"a","aim-ms":800.5,"semantics":"keyed","group":"zone","key-ttl-ms":5000},
 {"name":"b","aim-ms":300,"semantics":"safe"}],
 "tenants":[{"name":"t","fraction":0.5}],"limits":{"max-attempts":6,"probes":true,"max-retry-after-ms":2000},
 "reporting":{"how":"pull"},"family-info":{"message-aim-ms":[150.0,null],"tenant-quota-connections":[778.0]},
 "rules":{"ask-every-ms":10000},"penalties":{"cross-zone":0.16}}`

const dotted = `zone=nrb balancers=3 granularity-ms=5.0 areas=nrb,mba membership-mode=on_request classes.count=2
 classes.0.name=a
 classes.0.aim-ms=800.5 classes.0.semantics=keyed classes.0.group=zone classes.0.key-ttl-ms=5000 classes.1.name=b
 classes.1.aim-ms=300 classes.1.semantics=safe tenants.count=1 tenants.0.name=t tenants.0.fraction=0.5
 limits.max-attempts=6
 limits.probes=1 limits.max-retry-after-ms=2000 reporting.how=pull family-info.message-aim-ms=150.0,null
 family-info.tenant-quota-connections=778.0 rules.ask-every-ms=10000 penalties.cross-zone=0.16`

// TestBothFormsAreEquivalent checks that the program and the bench's adapter configure the policy alike.
func TestBothFormsAreEquivalent(t *testing.T) {
	f, err := Flatten([]byte(nested))
	if err != nil {
		t.Fatal(err)
	}
	g := Parse(strings.ReplaceAll(dotted, "\n", ""))
	a, b := Config(f), Config(g)
	if diff := cmp.Diff(a, b); f.Err != nil || g.Err != nil || diff != "" {
		t.Fatal(f.Err, g.Err, diff)
	}
	if a.Classes[0].MessageLatencyObjective != 150*time.Millisecond ||
		a.Classes[1].MessageLatencyObjective != 0 || a.Classes[0].KeyScope != policy.KeyScopeZone ||
		!a.PollEndpointList || !a.ProbesEnabled ||
		a.Tenants[0].ConnectionQuota != 778 {
		t.Fatalf("%+v", a)
	}
}

// TestErrorsNameTheSetting checks that the error for an invalid setting contains its name.
func TestErrorsNameTheSetting(t *testing.T) {
	for old, name := range map[string]string{`"aim-ms":800.5`: "classes.0.aim-ms",
		`"semantics":"safe"`: "classes.1.semantics",
		`"max-attempts":6`:   "limits.max-attempts", `"name":"t"`: "tenants.0.name"} {
		key, _, _ := strings.Cut(old, ":")
		f, err := Flatten([]byte(strings.Replace(nested, old, key+`:"?"`, 1)))
		if name == "tenants.0.name" {
			f, err = Flatten([]byte(strings.Replace(nested, old, `"x":1`, 1)))
		}
		if err != nil {
			t.Fatal(err)
		}
		if Config(f); f.Err == nil || !strings.Contains(f.Err.Error(), name) {
			t.Errorf("%s: %v", name, f.Err)
		}
	}
}
