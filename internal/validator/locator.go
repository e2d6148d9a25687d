package validator

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
)

// LocatedError is a decoding error with the location of the value that caused it.
type LocatedError struct {
	Cause error
	// Path is the location of the value, such as "ranks[1].target-wait".
	Path string
	// Value is the value as it is written in the text.
	Value string
}

// Error implements error.
func (l *LocatedError) Error() string {
	return fmt.Sprintf("%s: %s: %s", l.Path, l.Value, l.Cause)
}

// Unwrap returns the cause.
func (l *LocatedError) Unwrap() error {
	return l.Cause
}

// locate finds the innermost value in data that can't be decoded into the target type, and returns its path and its
// text. The path is empty if data itself is that value.
func locate(data json.RawMessage, target reflect.Type) (path string, value json.RawMessage) {
	switch target.Kind() {
	case reflect.Struct:
		return locateInStruct(data, target)
	case reflect.Slice:
		return locateInSlice(data, target)
	default:
		return "", data
	}
}

// canDecode reports whether data can be decoded into the target type. Unknown fields are allowed.
func canDecode(data json.RawMessage, target reflect.Type) bool {
	return json.Unmarshal(data, reflect.New(target).Interface()) == nil
}

func locateInStruct(data json.RawMessage, target reflect.Type) (string, json.RawMessage) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return "", data
	}
	for i := range target.NumField() {
		field := target.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		raw, ok := fields[name]
		if !ok || canDecode(raw, field.Type) {
			continue
		}
		inner, value := locate(raw, field.Type)
		return joinPath(name, inner), value
	}
	return "", data
}

func locateInSlice(data json.RawMessage, target reflect.Type) (string, json.RawMessage) {
	var elements []json.RawMessage
	if json.Unmarshal(data, &elements) != nil {
		return "", data
	}
	for i, raw := range elements {
		if canDecode(raw, target.Elem()) {
			continue
		}
		inner, value := locate(raw, target.Elem())
		return joinPath(fmt.Sprintf("[%d]", i), inner), value
	}
	return "", data
}

// joinPath appends the path inner, a field name or an index, to outer.
func joinPath(outer, inner string) string {
	if inner == "" || strings.HasPrefix(inner, "[") {
		return outer + inner
	}
	return outer + "." + inner
}

// listWithKeys is the list whose elements contain API keys.
const listWithKeys = "workspaces"

// shownValue returns the text of a value at a path as errors show it. Values that are or can contain API keys are hidden: lists
// and objects, a whole workspace and its keys.
func shownValue(path, value string) string {
	rest, ok := strings.CutPrefix(path, listWithKeys)
	if !ok {
		return value
	}
	_, field, isField := strings.Cut(rest, ".")
	isScalar := !strings.HasPrefix(value, "[") && !strings.HasPrefix(value, "{")
	if isField && isScalar && !strings.HasPrefix(field, "api-keys") {
		return value
	}
	return hiddenValue
}

// literalPrefix precedes the text of the document in an error of the parser.
const literalPrefix = "invalid literal: "

// hideLiteral removes the text of the document from an error of the parser: a key that lacks its quotes.
func hideLiteral(err error) error {
	before, _, found := strings.Cut(err.Error(), literalPrefix)
	if !found {
		return err
	}
	return errors.New(before + "invalid literal")
}
