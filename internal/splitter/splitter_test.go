package splitter

import (
	"encoding/json"
	"slices"
	"testing"
)

// TestMembers guards against parts of an object that are cut at the wrong place, and against texts that are no object.
func TestMembers(t *testing.T) {
	got, ok := Members(" {\"a\" : 1,\"b\":\"}\\\",{\" ,\n\"c\":{\"d\":[1,{}]},\"e\":[ ], \"f\":null} ")
	want := []Member{{"a", "1"}, {"b", `"}\",{"`}, {"c", `{"d":[1,{}]}`}, {"e", "[ ]"}, {"f", "null"}}
	if !ok || !slices.Equal(got, want) {
		t.Errorf("%q, %t, want %q", got, ok, want)
	}
	for _, text := range []string{
		"", "{", "}", "[]", "{}x", `{"a"}`, `{"a":}`, `{"a":1,}`, `{,"a":1}`, `{"a":1 "b":2}`, `{"a":1`, `{"a":"1}`, `{a:1}`, `{"\u0061":1}`,
		`{"a":[}`, `{"a":1}{}`, "null", "1",
	} {
		if members, ok := Members(text); ok {
			t.Errorf("%q is split into %q", text, members)
		}
	}
}

// TestElements is TestMembers for arrays.
func TestElements(t *testing.T) {
	got, ok := Elements(` [ {"a":"]"},2 , [3,4],"5,\\" ] `)
	want := []string{`{"a":"]"}`, "2", "[3,4]", `"5,\\"`}
	if !ok || !slices.Equal(got, want) {
		t.Errorf("%q, %t, want %q", got, ok, want)
	}
	for _, text := range []string{"", "[", "]", "{}", "[]x", "[1,]", "[,1]", "[1 2]", `["1]`, "[[]", "[1", "null"} {
		if elements, ok := Elements(text); ok {
			t.Errorf("%q is split into %q", text, elements)
		}
	}
}

// FuzzSplit guards against a text that is no valid JSON though it is split and each of its parts is valid.
func FuzzSplit(f *testing.F) {
	f.Add(`{"a":[1,{"b":"c"}],"d":null}`)
	f.Add(`[1,"2",{"a":[]}]`)
	f.Add(`{"a":{]}`)
	f.Fuzz(func(t *testing.T, text string) {
		if members, ok := Members(text); ok {
			isValid := true
			for _, m := range members {
				isValid = isValid && json.Valid([]byte(m.Value)) && json.Valid([]byte(`"`+m.Name+`"`))
			}
			if isValid != json.Valid([]byte(text)) {
				t.Errorf("%q: the parts are valid: %t", text, isValid)
			}
		}
		if elements, ok := Elements(text); ok {
			isValid := true
			for _, e := range elements {
				isValid = isValid && json.Valid([]byte(e))
			}
			if isValid != json.Valid([]byte(text)) {
				t.Errorf("%q: the parts are valid: %t", text, isValid)
			}
		}
	})
}
