// Package fieldreader reads the fields of a JSON object that another program has written. Unlike encoding/json it takes a name in
// its exact case alone, and each name once, and it tells a field that is missing or null from one with the zero value.
package fieldreader

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"unicode/utf8"

	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// maxShownValue is the number of bytes of a value that an error shows.
const maxShownValue = 60

// Object is a JSON object. The errors of its methods are validator.FieldErrors, which name the field and its value.
type Object struct {
	fields map[string]json.RawMessage
	// path is that of the object in the outermost one, with a dot at its end; empty for the outermost one.
	path string
}

// Parse reads the fields of an object. The error is a validator.FieldError if data is not a single object in UTF-8 whose names
// differ.
func Parse(data []byte) (*Object, error) {
	if !utf8.Valid(data) {
		return nil, validator.FieldError{Field: "body", Value: shorten(data), Reason: "want UTF-8"}
	}
	return parse("", data)
}

// parse reads the fields of the object with the path.
func parse(path string, data []byte) (*Object, error) {
	o := &Object{fields: make(map[string]json.RawMessage), path: path}
	invalid := func(reason string) error {
		field := "body"
		if path != "" {
			field = path[:len(path)-1]
		}
		return validator.FieldError{Field: field, Value: shorten(data), Reason: reason}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	if start, err := decoder.Token(); err != nil || start != json.Delim('{') {
		return nil, invalid("want an object")
	}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return nil, invalid(err.Error())
		}
		// The decoder returns the names of an object as strings.
		key, _ := name.(string)
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return nil, invalid(err.Error())
		}
		if _, ok := o.fields[key]; ok {
			return nil, validator.FieldError{Field: path + key, Value: shorten(value), Reason: "want the field once"}
		}
		o.fields[key] = value
	}
	if _, err := decoder.Token(); err != nil {
		return nil, invalid(err.Error())
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, invalid("want nothing behind the object")
	}
	return o, nil
}

// Has reports whether the object has the field.
func (o *Object) Has(name string) bool {
	_, ok := o.fields[name]
	return ok
}

// Object returns a field that is an object.
func (o *Object) Object(name string) (*Object, error) {
	value, err := o.value(name)
	if err != nil {
		return nil, err
	}
	return parse(o.path+name+".", value)
}

// Text returns a field that is a string of one to maxBytes bytes.
func (o *Object) Text(name string, maxBytes int) (string, error) {
	value, err := o.value(name)
	if err != nil {
		return "", err
	}
	var text string
	if json.Unmarshal(value, &text) != nil || text == "" || len(text) > maxBytes {
		return "", o.invalid(name, fmt.Sprintf("want a string of 1 to %d bytes", maxBytes))
	}
	return text, nil
}

// Int returns a field that is a whole number from least to most, written without a fraction or an exponent.
func (o *Object) Int(name string, least, most int64) (int64, error) {
	value, err := o.value(name)
	if err != nil {
		return 0, err
	}
	number, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || number < least || number > most {
		return 0, o.invalid(name, fmt.Sprintf("want a whole number from %d to %d", least, most))
	}
	return number, nil
}

// Number returns a field that is a number from least to most.
func (o *Object) Number(name string, least, most float64) (float64, error) {
	value, err := o.value(name)
	if err != nil {
		return 0, err
	}
	var number float64
	if json.Unmarshal(value, &number) != nil || number < least || number > most {
		return 0, o.invalid(name, fmt.Sprintf("want a number from %g to %g", least, most))
	}
	return number, nil
}

// value returns the JSON text of a field that is not null.
func (o *Object) value(name string) (json.RawMessage, error) {
	value, ok := o.fields[name]
	switch {
	case !ok:
		return nil, validator.FieldError{Field: o.path + name, Reason: "want the field"}
	case string(value) == "null":
		return nil, o.invalid(name, "want a value")
	default:
		return value, nil
	}
}

// invalid returns the error of a field with its value.
func (o *Object) invalid(name, reason string) error {
	return validator.FieldError{Field: o.path + name, Value: shorten(o.fields[name]), Reason: reason}
}

// shorten returns the beginning of a value.
func shorten(value []byte) string {
	if len(value) > maxShownValue {
		return fmt.Sprintf("%q...", value[:maxShownValue])
	}
	return string(value)
}
