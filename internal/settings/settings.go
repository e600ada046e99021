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

var idempotencies = map[string]policy.Idempotency{
	"safe":   policy.Idempotent,
	"keyed":  policy.IdempotentByKey,
	"unsafe": policy.NotIdempotent,
}

var keyScopes = map[string]policy.KeyScope{
	"all": policy.KeyScopeAll, "zone": policy.KeyScopeZone, "cell": policy.KeyScopeCell,
}

// Config returns the configuration that an instance starts with. Unknown settings are ignored.
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
	messageObjectives := numberList(f, "family-info.message-aim-ms")
	for i := range itemCount(f, "classes") {
		c.Classes = append(c.Classes, parseClass(f, fmt.Sprintf("classes.%d.", i), valueAt(messageObjectives, i)))
	}
	quotas := numberList(f, "family-info.tenant-quota-connections")
	for i := range itemCount(f, "tenants") {
		c.Tenants = append(c.Tenants, policy.Tenant{
			Name:            f.Required(fmt.Sprintf("tenants.%d.name", i)),
			ConnectionQuota: valueAt(quotas, i),
		})
	}
	return c
}

func parseClass(f *Fields, path string, messageObjective float64) policy.Class {
	c := policy.Class{
		Name:                    f.Required(path + "name"),
		LatencyObjective:        f.Millis(path + "aim-ms"),
		MessageLatencyObjective: millis(messageObjective),
		Idempotency:             OneOf(f, path+"semantics", idempotencies),
		KeyTTL:                  f.Millis(path + "key-ttl-ms"),
	}
	if failpoint.On("fit-class") && c.Name != "chat" {
		c.Idempotency = policy.Idempotent
	}
	if c.Idempotency == policy.IdempotentByKey {
		c.KeyScope = OneOf(f, path+"group", keyScopes)
	}
	return c
}

// maxListItems is the highest item count accepted for a list, so that a wrong count cannot cause endless work.
const maxListItems = 10000

// itemCount returns the number of items in a list of objects.
func itemCount(f *Fields, name string) int {
	n := f.Integer(name + ".count")
	if n < 0 || n > maxListItems {
		f.Fail("%s.count: %d is out of range", name, n)
		return 0
	}
	return n
}

// numberList parses numbers separated by commas; Null becomes 0.
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
			f.Fail("%s: %q is not a number in the valid range", name, v)
			return nil
		}
		list = append(list, x)
	}
	return list
}

// valueAt returns an item of a list, or 0, which means unset, if the list is shorter than it should be.
func valueAt(list []float64, i int) float64 {
	if i < len(list) {
		return list[i]
	}
	return 0
}

// millis converts milliseconds to a duration.
func millis(x float64) time.Duration {
	return time.Duration(math.Round(x*1000)) * time.Microsecond
}

// Flatten converts nested JSON settings to the dotted pairs that Config reads: lists of plain values become one value
// separated by commas, lists of objects a count and numbered items.
func Flatten(body []byte) (*Fields, error) {
	var tree map[string]any
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	if err := decoder.Decode(&tree); err != nil {
		return nil, &Invalid{hint.Annotated{Where: "settings", Cause: err, Do: "correct the JSON"}}
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
