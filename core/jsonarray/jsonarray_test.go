package jsonarray

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

func TestCut(t *testing.T) {
	is := is.New(t)
	rest, elements, ok := Cut([]byte(` {"a" : "x]\"}" , "list":[ {"b":[1,{"c":"}"}]}, "s\\", 7 ,null],"d":{"list":[1]} , "e":-1.5e3 } `), "list")
	is.True(ok)
	is.Equal(string(rest), `{"a":"x]\"}","d":{"list":[1]},"e":-1.5e3}`)
	texts := []string{}
	for _, e := range elements {
		texts = append(texts, string(e))
	}
	is.Equal(texts, []string{`{"b":[1,{"c":"}"}]}`, `"s\\"`, `7`, `null`})

	rest, elements, ok = Cut([]byte(`{"list":[]}`), "list")
	is.True(ok)
	is.Equal(string(rest), `{}`)
	is.Equal(len(elements), 0)
	rest, _, ok = Cut([]byte(`{"list":[1],"a":2}`), "list")
	is.True(ok)
	is.Equal(string(rest), `{"a":2}`)
}

func TestCutOfOtherDocuments(t *testing.T) {
	for _, doc := range []string{
		``, `[]`, `7`, `{`, `{}`, `{"list":7}`, `{"list":{}}`, `{"list":[1}`, `{"list":[1 2]}`, `{"list":[1],"list":[2]}`,
		`{"list":[1]}x`, `{"list":[1]`, `{"list":[,1]}`, `{"list" [1]}`, `{"list":[1],}`, `{"a":1 "list":[1]}`, `{"list":["x]}`, `{"list":null}`, `{"list":[1],"a"}`,
	} {
		if rest, elements, ok := Cut([]byte(doc), "list"); ok {
			t.Errorf("%s: rest %s, elements %q", doc, rest, elements)
		}
	}
}

// What is cut from a valid document is the same as what is decoded from it.
func FuzzCut(f *testing.F) {
	f.Add([]byte(`{"a":1,"list":[{"x":"\\\""},[],""],"b":{"c":[true]}}`))
	f.Fuzz(func(t *testing.T, doc []byte) {
		var whole map[string]json.RawMessage
		valid := json.Unmarshal(doc, &whole) == nil
		rest, elements, ok := Cut(doc, "list")
		if !ok || !valid {
			return
		}
		var list []json.RawMessage
		if err := json.Unmarshal(whole["list"], &list); err != nil || len(list) != len(elements) {
			t.Fatalf("%d elements, expected %d: %v", len(elements), len(list), err)
		}
		for i := range list {
			if string(list[i]) != string(elements[i]) {
				t.Fatalf("element %d is %s, expected %s", i, elements[i], list[i])
			}
		}
		if !json.Valid(rest) {
			t.Fatalf("rest is not valid: %s", rest)
		}
	})
}
