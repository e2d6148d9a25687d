// Package formserver serves the console: plain HTML forms that produce one validated document.
package formserver

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// kind is how a field is entered.
type kind string

const (
	kindBool   kind = "checkbox"
	kindList   kind = "list"
	kindNumber kind = "number"
	kindText   kind = "text"
)

// column is one field of every row of a section.
type column struct {
	Kind  kind
	Label string
	Name  string
}

// section is one list of the document.
type section struct {
	Columns []column
	Name    string
	Title   string
}

const (
	budgetField = "budgets.control-bytes-per-second"
	maxRows     = 10000
)

// sections are the lists of a document in the order of the form.
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

// form is the content of the console's form, as text by field path.
type form struct {
	rows   map[string]int
	values map[string]string
}

func fieldName(section string, row int, column string) string {
	return fmt.Sprintf("%s[%d].%s", section, row, column)
}

// formOf returns the form of a document.
func formOf(document *validator.Document) (*form, error) {
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
				f.values[fieldName(s.Name, i, c.Name)] = textOf(row[c.Name])
			}
		}
	}
	return f, nil
}

func textOf(value any) string {
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
		for _, one := range v {
			words = append(words, fmt.Sprint(one))
		}
		return strings.Join(words, " ")
	default:
		return fmt.Sprint(v)
	}
}

// readForm takes the form from the values that a browser sent.
func readForm(get func(name string) string) *form {
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

// add appends an empty row.
func (f *form) add(section string) {
	f.rows[section]++
}

// remove takes a row out and moves the later ones up.
func (f *form) remove(name string, row int) {
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

// text returns the document that the form describes, which need not be valid.
func (f *form) text() (string, error) {
	document := map[string]any{
		"budgets": map[string]any{"control-bytes-per-second": number(f.values[budgetField])},
	}
	for _, s := range sections {
		rows := make([]map[string]any, 0, f.rows[s.Name])
		for i := range f.rows[s.Name] {
			rows = append(rows, f.row(s, i))
		}
		document[s.Name] = rows
	}
	encoded, err := json.MarshalIndent(document, "", "  ")
	return string(encoded), err
}

func (f *form) row(s section, i int) map[string]any {
	row := make(map[string]any)
	for _, c := range s.Columns {
		value := f.values[fieldName(s.Name, i, c.Name)]
		switch c.Kind {
		case kindBool:
			row[c.Name] = value != ""
		case kindList:
			row[c.Name] = strings.Fields(value)
		case kindNumber:
			row[c.Name] = number(value)
		case kindText:
			row[c.Name] = value
		}
	}
	return row
}

// number returns the value as a JSON number where it is one, and as text for the validator to refuse
// otherwise.
func number(text string) any {
	if value, err := strconv.ParseFloat(text, 64); err == nil {
		return value
	}
	return text
}
