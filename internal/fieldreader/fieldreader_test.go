package fieldreader_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/marigoldrelay/marigoldrelay/internal/fieldreader"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// TestUnreadableObjects guards against bytes that are no single object and are taken for one, and against errors that don't name
// the field.
func TestUnreadableObjects(t *testing.T) {
	for text, field := range map[string]string{
		"": "body", "null": "body", "[]": "body", "4": "body", `{`: "body", `{"a"`: "body", `{"a":}`: "body", `{"a":1,}`: "body", `{"a":1}{}`: "body",
		`{"a":1} x`: "body", "{\"a\":\"\xff\"}": "body", `{"a":1,"a":1}`: "a", `{4:1}`: "body", `{"a":` + strings.Repeat("[", 100_000): "body",
	} {
		_, err := fieldreader.Parse([]byte(text))
		var fieldError validator.FieldError
		if !errors.As(err, &fieldError) || fieldError.Field != field {
			t.Errorf("%.20q: %v, want an error of %s", text, err, field)
		}
	}
}

// TestNestedFieldsAreNamed guards against errors that name a field without the objects that it is in.
func TestNestedFieldsAreNamed(t *testing.T) {
	o, err := fieldreader.Parse([]byte(`{"a":{"b":{"c":1,"d":"x"}},"e":` + strings.Repeat("1", 200) + `}`))
	if err != nil {
		t.Fatal(err)
	}
	a, err := o.Object("a")
	if err != nil {
		t.Fatal(err)
	}
	b, err := a.Object("b")
	if err != nil {
		t.Fatal(err)
	}
	if c, err := b.Int("c", 1, 1); err != nil || c != 1 {
		t.Errorf("%d, %v", c, err)
	}
	if d, err := b.Text("d", 1); err != nil || d != "x" {
		t.Errorf("%q, %v", d, err)
	}
	for _, err := range []error{second(b.Int("c", 2, 3)), second(b.Text("c", 9)), second(b.Number("c", 2, 3)), second(b.Object("c"))} {
		if err == nil || !strings.HasPrefix(err.Error(), "a.b.c: ") {
			t.Errorf("%v doesn't name a.b.c", err)
		}
	}
	if _, err := o.Int("e", 0, 9); err == nil || len(err.Error()) > 150 {
		t.Errorf("a long value: %v", err)
	}
	if o.Has("A") || !o.Has("a") {
		t.Error("names are taken in another case")
	}
}

func second[T any](_ T, err error) error {
	return err
}
