package golden

import (
	"strings"
	"testing"
	"time"
)

type (
	inner struct {
		A int `json:"a,omitempty"`
	}
	nested struct {
		inner
		Time   time.Time           `json:"t"`
		Parts  map[string][]nested `json:"p"`
		Plain  string
		Local  int `json:"-"`
		hidden int
	}
	otherInner struct {
		X int64 `json:"a,omitempty"`
	}
	renamed struct {
		Plain string
		When  time.Time            `json:"t"`
		List  map[string][]renamed `json:"p"`
		otherInner
	}
)

func TestShape(t *testing.T) {
	want := "# x\n. object\nPlain string\na integer omitempty\np map by string\np{} list\np{}[] recursive\nt time\n"
	for _, v := range []any{nested{hidden: 1}, &nested{}, renamed{}} {
		if got := Shape("x", v); got != want {
			t.Errorf("%T: %s", v, got)
		}
	}
	for _, v := range []any{
		struct {
			A int `json:"b"`
		}{},
		struct {
			A int `json:"a,omitempty"`
		}{},
		struct {
			A int `json:"a,string"`
		}{},
		struct {
			A string `json:"a"`
		}{},
		struct {
			A *int `json:"a"`
		}{},
		struct {
			A []int `json:"a"`
		}{},
		struct{}{},
	} {
		if Shape("x", v) == Shape("x", struct {
			A int `json:"a"`
		}{}) {
			t.Errorf("the shape of %T must differ from that of the reference struct", v)
		}
	}
}

func TestFilled_preservesKeyOrder(t *testing.T) {
	ab := Filled("x", struct {
		A string            `json:"a"`
		B map[string][]bool `json:"b"`
	}{})
	ba := Filled("x", struct {
		B map[string][]bool `json:"b"`
		A string            `json:"a"`
	}{})
	if ab != "# x, filled\n{\"a\":\"s2\",\"b\":{\"s4\":[true]}}\n" || ab == ba {
		t.Error(ab, ba)
	}
}

func TestDifference_includesHeadings(t *testing.T) {
	got := difference("# a\nk int\n\n# b\nk int\n", "# a\nk int\n\n# b\nk string\n")
	if got != "- # b: k int\n+ # b: k string\n" {
		t.Error(got)
	}
	if got := difference("# a\nx\nx\n", "# a\nx\n"); !strings.Contains(got, "another order or number") {
		t.Error(got)
	}
}
