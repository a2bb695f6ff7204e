package jsonlist

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
)

func TestCut(t *testing.T) {
	for _, c := range []struct {
		name, object, rest string
		elements           []string
	}{
		{"a list", `{"a":[1,"x",{"b":[2]}],"c":3}`, `{"a":[],"c":3}`, []string{`1`, `"x"`, `{"b":[2]}`}},
		{"white space", " { \"a\" : [ 1 , 2 ] } ", " { \"a\" : [] } ", []string{"1", "2"}},
		{"an empty list", `{"a":[]}`, `{"a":[]}`, nil},
		{"null", `{"a":null}`, `{"a":null}`, nil},
		{"another field", `{"c":[1]}`, `{"c":[1]}`, nil},
		{"brackets in strings", `{"a":["]","\"]"],"b":"[{"}`, `{"a":[],"b":"[{"}`, []string{`"]"`, `"\"]"`}},
		{"an escaped name", `{"\u0061":[1]}`, `{"\u0061":[]}`, []string{"1"}},
		{"an element that is no JSON", `{"a":[+1,nul,2]}`, `{"a":[]}`, []string{"+1", "nul", "2"}},
	} {
		rest, elements, err := Cut([]byte(c.object), "a")
		var got []string
		for _, e := range elements {
			got = append(got, string(e))
		}
		if string(rest) != c.rest || !reflect.DeepEqual(got, c.elements) {
			t.Errorf("%s: rest %q, elements %q, error %v", c.name, rest, got, err)
		}
	}
	for _, object := range []string{"", "[]", "1", `{"a"`, `{"a":`, `{"a":[`, `{"a":[1`, `{"a":"`, `{"a":[1 2]}`, `{"a":1 "b":2}`, `{"a":]}`} {
		if _, _, err := Cut([]byte(object), "a"); err == nil {
			t.Errorf("%q was cut", object)
		}
	}
}

// Guards against nesting that ends the process or costs the other elements.
func TestDeepNestingCostsOneElement(t *testing.T) {
	deep := strings.Repeat("[", 1<<20) + strings.Repeat("]", 1<<20)
	rest, elements, err := Cut([]byte(`{"a":[1,`+deep+`,2]}`), "a")
	if err != nil || len(elements) != 3 || string(elements[2]) != "2" || string(rest) != `{"a":[]}` {
		t.Errorf("%d elements, rest %.20q, error %v", len(elements), rest, err)
	}
}

// FuzzCut compares the elements with those of encoding/json, where that takes the object.
func FuzzCut(f *testing.F) {
	f.Add(`{"a":[1,{"b":"]"}],"c":[2]}`)
	f.Add(`{"a":["\"",null,true,1e9],"a":[]}`)
	f.Fuzz(func(t *testing.T, object string) {
		var want struct {
			A []json.RawMessage `json:"a"`
		}
		if !strings.Contains(object, `"a"`) || strings.Count(object, "a") > 1 || strings.Contains(object, "A") || json.Unmarshal([]byte(object), &want) != nil {
			_, _, _ = Cut([]byte(object), "a")
			return
		}
		rest, elements, err := Cut([]byte(object), "a")
		if err != nil || len(elements) != len(want.A) || !json.Valid(rest) {
			t.Fatalf("%q: %d elements, want %d, rest %q, error %v", object, len(elements), len(want.A), rest, err)
		}
		for i := range elements {
			if string(elements[i]) != string(want.A[i]) {
				t.Fatalf("%q: element %q, want %q", object, elements[i], want.A[i])
			}
		}
	})
}
