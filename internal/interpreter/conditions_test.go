package interpreter

import (
	"testing"

	"github.com/valyala/fasthttp"
)

// TestReadConditions covers values that can't be read as a rate limit: they are invalid, which is not the same as a
// response without a limit.
func TestReadConditions(t *testing.T) {
	invalid := Conditions{RateLimit: RateLimit{Invalid: true}}
	tests := []struct {
		name   string
		limits []string
		leaves string
		want   Conditions
	}{
		{name: "none"},
		{name: "decimal", limits: []string{"10.4"}, want: Conditions{RateLimit: RateLimit{PerSecond: 10.4}}},
		{name: "exponent", limits: []string{"1e1"}, want: Conditions{RateLimit: RateLimit{PerSecond: 10}}},
		{name: "empty", limits: []string{""}, want: invalid},
		{name: "zero", limits: []string{"0"}, want: invalid},
		{name: "negative", limits: []string{"-3"}, want: invalid},
		{name: "not a number", limits: []string{"NaN"}, want: invalid},
		{name: "infinite", limits: []string{"Inf"}, want: invalid},
		{name: "out of range", limits: []string{"1e400"}, want: invalid},
		{name: "text", limits: []string{"ten"}, want: invalid},
		{name: "list", limits: []string{"3, 4"}, want: invalid},
		{name: "twice", limits: []string{"3", "3"}, want: invalid},
		{name: "leaving", leaves: "1", want: Conditions{Leaving: true}},
		{name: "not leaving", leaves: "0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var header fasthttp.ResponseHeader
			for _, limit := range test.limits {
				header.Add(HeaderRateLimit, limit)
			}
			if test.leaves != "" {
				header.Set(HeaderLeaving, test.leaves)
			}
			if got := (Native{}).ReadAnswer(&header).Conditions; got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}
