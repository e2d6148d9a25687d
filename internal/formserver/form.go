// Package formserver serves the console: plain HTML forms in which operators edit the
// configuration document. A document is put in force only after it has been validated as a whole.
package formserver

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// inputKind is the kind of input in which a field is entered. The template document.html shows a checkbox
// for kindBool and a text input for the others.
type inputKind string

const (
	kindBool inputKind = "checkbox"
	// kindList is a list of words separated by spaces.
	kindList   inputKind = "list"
	kindNumber inputKind = "number"
	kindText   inputKind = "text"
)

// column describes one field of every row of a section.
type column struct {
	Kind  inputKind
	Label string
	// Name is the name of the field in the document.
	Name string
}

// section describes one list of the document.
type section struct {
	Columns []column
	// Name is the name of the list in the document.
	Name  string
	Title string
}

const (
	// budgetField is the path of the form's only field outside the sections.
	budgetField = "budgets.control-bytes-per-second"
	// maxRows limits the rows of one section. A section for which a browser sends more is read as empty.
	maxRows = 10000
)

// sections lists the sections in the order in which the form shows them.
var sections = []section{
	{Name: "neighbours", Title: "Neighbours", Columns: []column{
		{kindText, "Name", "name"},
		{kindNumber, "Weight", "weight"},
		{kindNumber, "Retries for each first try", "retry-ratio"},
	}},
	{Name: "ranks", Title: "Ranks, the most urgent first", Columns: []column{
		{kindText, "Name", "name"},
		{kindNumber, "Guaranteed share", "guaranteed-share"},
		{kindText, "Target wait", "target-wait"},
	}},
	{Name: "services", Title: "Services", Columns: []column{
		{kindText, "Name", "name"},
		{kindText, "Neighbour", "neighbour"},
		{kindText, "Health path", "health-path"},
	}},
	{Name: "routes", Title: "Routes", Columns: []column{
		{kindText, "Name", "name"},
		{kindText, "Host", "host"},
		{kindList, "Methods", "methods"},
		{kindText, "Path prefix", "path-prefix"},
		{kindText, "Service", "service"},
		{kindText, "Rank", "rank"},
		{kindText, "Neighbour", "neighbour"},
		{kindBool, "Idempotent", "idempotent"},
		{kindText, "Deadline", "deadline"},
	}},
	{Name: "control-replicas", Title: "Control replicas", Columns: []column{
		{kindText, "VM", "vm"},
		{kindText, "Disk id", "disk-id"},
	}},
}

// form holds the content of the console's form.
type form struct {
	// base is the document that the form was made from. The fields that the form does not show are taken from it: they include
	// the API keys of workspaces, which no page contains.
	base map[string]any
	// rows is the number of rows by section name.
	rows map[string]int
	// values is the text of each field by field path, as fieldName returns it.
	values map[string]string
}

// fieldName returns the path of a field, such as services[0].name. It is the name of the HTML input and
// the field name in the validator's errors.
func fieldName(section string, row int, column string) string {
	return fmt.Sprintf("%s[%d].%s", section, row, column)
}

// newForm returns a form that is filled with the document's values.
func newForm(document *validator.Document) (*form, error) {
	encoded, err := json.Marshal(document)
	if err != nil {
		return nil, err
	}
	var lists map[string]json.RawMessage
	if err := json.Unmarshal(encoded, &lists); err != nil {
		return nil, err
	}
	f := &form{rows: make(map[string]int), values: make(map[string]string)}
	f.values[budgetField] = strconv.Itoa(document.Budgets.ControlBytesPerSecond)
	for _, s := range sections {
		var rows []map[string]any
		if list, ok := lists[s.Name]; ok {
			if err := json.Unmarshal(list, &rows); err != nil {
				return nil, err
			}
		}
		f.rows[s.Name] = len(rows)
		for i, row := range rows {
			for _, c := range s.Columns {
				f.values[fieldName(s.Name, i, c.Name)] = formatValue(row[c.Name])
			}
		}
	}
	return f, nil
}

// formatValue returns the text of a decoded JSON value as the form holds it: "on" for true, an empty text
// for false or a missing value, and the elements of a list joined by spaces.
func formatValue(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case bool:
		if v {
			return "on"
		}
		return ""
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	case []any:
		words := make([]string, 0, len(v))
		for _, item := range v {
			words = append(words, fmt.Sprint(item))
		}
		return strings.Join(words, " ")
	default:
		return fmt.Sprint(v)
	}
}

// parseForm builds the form from the values that a browser sent; get returns a value by input name.
func parseForm(get func(name string) string) *form {
	f := &form{rows: make(map[string]int), values: make(map[string]string)}
	f.values[budgetField] = get(budgetField)
	for _, s := range sections {
		count, err := strconv.Atoi(get("rows-" + s.Name))
		if err != nil || count < 0 || count > maxRows {
			count = 0
		}
		f.rows[s.Name] = count
		for i := range count {
			for _, c := range s.Columns {
				name := fieldName(s.Name, i, c.Name)
				f.values[name] = strings.TrimSpace(get(name))
			}
		}
	}
	return f
}

// addRow appends an empty row to the section.
func (f *form) addRow(section string) {
	f.rows[section]++
}

// removeRow removes a row of the named section and moves the later rows up. It ignores an unknown section
// or row.
func (f *form) removeRow(name string, row int) {
	i := slices.IndexFunc(sections, func(s section) bool { return s.Name == name })
	if i < 0 || row < 0 || row >= f.rows[name] {
		return
	}
	for ; row < f.rows[name]-1; row++ {
		for _, c := range sections[i].Columns {
			f.values[fieldName(name, row, c.Name)] = f.values[fieldName(name, row+1, c.Name)]
		}
	}
	f.rows[name]--
}

// documentText returns the document that the form describes as JSON. The document is not validated.
func (f *form) documentText() (string, error) {
	document := make(map[string]any)
	maps.Copy(document, f.base)
	budgets := make(map[string]any)
	if old, ok := document["budgets"].(map[string]any); ok {
		maps.Copy(budgets, old)
	}
	budgets["control-bytes-per-second"] = parseNumber(f.values[budgetField])
	document["budgets"] = budgets
	for _, s := range sections {
		rows := make([]map[string]any, 0, f.rows[s.Name])
		for i := range f.rows[s.Name] {
			values := f.rowValues(s, i)
			row := make(map[string]any)
			maps.Copy(row, f.baseRow(s, values))
			maps.Copy(row, values)
			rows = append(rows, row)
		}
		document[s.Name] = rows
	}
	encoded, err := json.MarshalIndent(document, "", "  ")
	return string(encoded), err
}

// baseRow returns the row of the base document that has the same identity as the given values, or nil.
func (f *form) baseRow(s section, values map[string]any) map[string]any {
	rows, _ := f.base[s.Name].([]any)
	for _, row := range rows {
		if old, ok := row.(map[string]any); ok && rowIdentity(old) == rowIdentity(values) {
			return old
		}
	}
	return nil
}

// rowIdentity returns what identifies a row within its section: its name, its VM, or the requests that a route without a name
// matches.
func rowIdentity(row map[string]any) string {
	for _, key := range []string{"name", "vm"} {
		if name, ok := row[key].(string); ok && name != "" {
			return key + " " + name
		}
	}
	var methods []string
	switch list := row["methods"].(type) {
	case []string:
		methods = list
	case []any:
		methods = strings.Fields(formatValue(list))
	}
	return fmt.Sprintf("route %s %q %s", formatValue(row["host"]), methods, formatValue(row["path-prefix"]))
}

// rowValues returns the i-th row of the section as a JSON object.
func (f *form) rowValues(s section, i int) map[string]any {
	row := make(map[string]any)
	for _, c := range s.Columns {
		value := f.values[fieldName(s.Name, i, c.Name)]
		switch c.Kind {
		case kindBool:
			row[c.Name] = value != ""
		case kindList:
			row[c.Name] = strings.Fields(value)
		case kindNumber:
			row[c.Name] = parseNumber(value)
		case kindText:
			row[c.Name] = value
		}
	}
	return row
}

// parseNumber returns the text as a number if it can be parsed as one. Otherwise it returns the text itself,
// which the validator then rejects.
func parseNumber(text string) any {
	if value, err := strconv.ParseFloat(text, 64); err == nil {
		return value
	}
	return text
}
