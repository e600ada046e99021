package wire

import (
	"fmt"
	"strings"

	"oatloft/policy"
)

var effects = map[string]policy.Effect{"safe": policy.Safe, "keyed": policy.Keyed, "unsafe": policy.Unsafe}

var scopes = map[string]policy.Scope{
	"all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell,
}

// config reads the settings that an instance is started with. Keys it does not know are ignored.
func config(f *fields) policy.Config {
	c := policy.Config{
		Zone:           f.text("zone"),
		Balancers:      f.integer("balancers"),
		Tick:           f.millis("granularity-ms"),
		MaxAttempts:    f.integer("limits.max-attempts"),
		Probes:         f.flag("limits.probes") && f.text("reporting.how") != "silent",
		RetryAfter:     f.flag("limits.retry-after"),
		MaxRetryAfter:  f.millis("limits.max-retry-after-ms"),
		PullList:       f.text("membership-mode") == "on_request",
		AskWithin:      f.millis("rules.ask-every-ms"),
		CrossZonePrice: f.number("penalties.cross-zone"),
		ColdShare:      f.number("rules.cold-from"),
		ColdTime:       f.millis("rules.cold-ms"),
		FallMultiple:   f.number("rules.fall-multiple"),
		FallTime:       f.millis("rules.tip-after-ms"),
	}
	messageAims := numberList(f, "family-info.message-aim-ms")
	for i := range count(f, "classes") {
		c.Classes = append(c.Classes, class(f, fmt.Sprintf("classes.%d.", i), at(messageAims, i)))
	}
	quotas := numberList(f, "family-info.tenant-quota-connections")
	for i := range count(f, "tenants") {
		c.Tenants = append(c.Tenants, policy.Tenant{
			Name:        f.required(fmt.Sprintf("tenants.%d.name", i)),
			Connections: at(quotas, i),
		})
	}
	return c
}

func class(f *fields, path string, messageAim float64) policy.Class {
	c := policy.Class{
		Name:       f.required(path + "name"),
		Aim:        f.millis(path + "aim-ms"),
		MessageAim: millis(messageAim),
		Effect:     oneOf(f, path+"semantics", effects),
		KeyTTL:     f.millis(path + "key-ttl-ms"),
	}
	if c.Effect == policy.Keyed {
		c.Scope = oneOf(f, path+"group", scopes)
	}
	return c
}

// maxItems bounds the lists of a setup line, so that a wrong count can't ask for endless work.
const maxItems = 10000

func count(f *fields, name string) int {
	n := f.integer(name + ".count")
	if n < 0 || n > maxItems {
		f.fail("%s.count: %d is out of range", name, n)
		return 0
	}
	return n
}

func numberList(f *fields, name string) []float64 {
	var list []float64
	if v := f.text(name); v == "" || v == null {
		return nil
	}
	for _, v := range strings.Split(f.text(name), ",") {
		if v == null {
			list = append(list, 0)
			continue
		}
		x, err := parseNumber(v)
		if err != nil || x > maxMillis || x < -maxMillis {
			f.fail("%s: %q is no usable number", name, v)
			return nil
		}
		list = append(list, x)
	}
	return list
}

// at tolerates lists that are shorter than they should be: a missing figure counts as not told. A
// single figure stands for all.
func at(list []float64, i int) float64 {
	if i < len(list) {
		return list[i]
	}
	return 0
}
