package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"oatloft/internal/failpoint"
	"oatloft/internal/hint"
	"oatloft/policy"
)

var effects = map[string]policy.Idempotency{
	"safe":   policy.Idempotent,
	"keyed":  policy.IdempotentByKey,
	"unsafe": policy.NotIdempotent,
}

var scopes = map[string]policy.KeyScope{
	"all": policy.KeyScopeAll, "zone": policy.KeyScopeZone, "cell": policy.KeyScopeCell,
}

// Config reads the settings that an instance is started with. Keys it does not know are ignored.
func Config(f *Fields) policy.Config {
	c := policy.Config{
		Zone:                  f.Text("zone"),
		Balancers:             f.Integer("balancers"),
		TimerResolution:       f.Millis("granularity-ms"),
		MaxAttempts:           f.Integer("limits.max-attempts"),
		ProbesEnabled:         f.Flag("limits.probes") && f.Text("reporting.how") != "silent",
		MaxRetryAfter:         f.Millis("limits.max-retry-after-ms"),
		PollEndpointList:      f.Text("membership-mode") == "on_request",
		PollInterval:          f.Millis("rules.ask-every-ms"),
		CrossZoneCost:         f.Number("penalties.cross-zone"),
		WarmUpInitialCapacity: f.Number("rules.cold-from"),
		WarmUpDuration:        f.Millis("rules.cold-ms"),
		OverloadMultiple:      f.Number("rules.fall-multiple"),
		OverloadWindow:        f.Millis("rules.tip-after-ms"),
	}
	if failpoint.On("fit-cold") {
		c.Balancers = min(c.Balancers, 10)
	}
	if failpoint.On("fit-attempts") {
		c.MaxAttempts = 6
	}
	if !f.Flag("limits.retry-after") {
		c.MaxRetryAfter = 0
	}
	messageAims := numberList(f, "family-info.message-aim-ms")
	for i := range count(f, "classes") {
		c.Classes = append(c.Classes, class(f, fmt.Sprintf("classes.%d.", i), at(messageAims, i)))
	}
	quotas := numberList(f, "family-info.tenant-quota-connections")
	for i := range count(f, "tenants") {
		c.Tenants = append(c.Tenants, policy.Tenant{
			Name:            f.Required(fmt.Sprintf("tenants.%d.name", i)),
			ConnectionQuota: at(quotas, i),
		})
	}
	return c
}

func class(f *Fields, path string, messageAim float64) policy.Class {
	c := policy.Class{
		Name:                    f.Required(path + "name"),
		LatencyObjective:        f.Millis(path + "aim-ms"),
		MessageLatencyObjective: millis(messageAim),
		Idempotency:             OneOf(f, path+"semantics", effects),
		KeyTTL:                  f.Millis(path + "key-ttl-ms"),
	}
	if failpoint.On("fit-class") && c.Name != "chat" {
		c.Idempotency = policy.Idempotent
	}
	if c.Idempotency == policy.IdempotentByKey {
		c.KeyScope = OneOf(f, path+"group", scopes)
	}
	return c
}

// maxItems bounds the lists of a setup line, so that a wrong count can't ask for endless work.
const maxItems = 10000

func count(f *Fields, name string) int {
	n := f.Integer(name + ".count")
	if n < 0 || n > maxItems {
		f.Fail("%s.count: %d is out of range", name, n)
		return 0
	}
	return n
}

func numberList(f *Fields, name string) []float64 {
	var list []float64
	if v := f.Text(name); v == "" || v == Null {
		return nil
	}
	for _, v := range strings.Split(f.Text(name), ",") {
		if v == Null {
			list = append(list, 0)
			continue
		}
		x, err := ParseNumber(v)
		if err != nil || x > maxMillis || x < -maxMillis {
			f.Fail("%s: %q is no usable number", name, v)
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

// millis turns a figure in milliseconds into a duration.
func millis(x float64) time.Duration {
	return time.Duration(math.Round(x*1000)) * time.Microsecond
}

// Flatten turns settings that came as nested JSON into the dotted pairs that Config reads: plain lists
// become one value with commas, lists of objects a count and numbered items.
func Flatten(body []byte) (*Fields, error) {
	var tree map[string]any
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	if err := d.Decode(&tree); err != nil {
		return nil, &Unfit{hint.Annotated{Where: "settings", Cause: err, Do: "mend the JSON"}}
	}
	f := &Fields{values: map[string]string{}}
	f.flatten("", tree)
	return f, nil
}

func (f *Fields) flatten(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, item := range v {
			f.flatten(strings.TrimPrefix(path+"."+name, "."), item)
		}
	case []any:
		plain := make([]string, 0, len(v))
		for _, item := range v {
			if _, nested := item.(map[string]any); !nested {
				plain = append(plain, fmt.Sprint(orNull(item)))
			}
		}
		if len(v) > 0 && len(plain) == len(v) {
			f.values[path] = strings.Join(plain, ",")
			return
		}
		f.values[path+".count"] = strconv.Itoa(len(v))
		for i, item := range v {
			f.flatten(fmt.Sprintf("%s.%d", path, i), item)
		}
	default:
		f.values[path] = fmt.Sprint(orNull(v))
	}
}

func orNull(v any) any {
	if v == nil {
		return Null
	}
	return v
}
