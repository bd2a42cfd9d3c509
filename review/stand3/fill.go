package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// placeholder matches a placeholder or the mark of a section in a template.
var placeholder = regexp.MustCompile(`\{\{([^{}]*)\}\}`)

// scope is an entry of a section, inside the one around it.
type scope struct {
	value any
	key   string
	last  bool
	outer *scope
}

// fill fills a template in as the platform does (DEPLOY.md, "Settings of a process").
func fill(template string, fields map[string]any) (string, error) {
	var out strings.Builder
	rest, err := fillPart(&out, template, "", &scope{value: fields})
	if err == nil && rest != "" {
		err = fmt.Errorf("text after the end of a section: %.40q", rest)
	}
	return out.String(), err
}

// fillPart fills the template in up to the end of the section, and returns the rest.
func fillPart(out *strings.Builder, template, section string, s *scope) (string, error) {
	for {
		at := placeholder.FindStringSubmatchIndex(template)
		if at == nil {
			out.WriteString(template)
			return "", nil
		}
		out.WriteString(template[:at[0]])
		name := template[at[2]:at[3]]
		template = template[at[1]:]
		switch {
		case name == "/"+section:
			return template, nil
		case strings.HasPrefix(name, "#"):
			rest, err := fillSection(out, template, name[1:], s)
			if err != nil {
				return "", err
			}
			template = rest
		case name == ",":
			if !s.last {
				out.WriteString(",")
			}
		case name == "@":
			out.WriteString(s.key)
		default:
			out.WriteString(textOf(name, s))
		}
	}
}

// fillSection fills a section in, once for each entry of its list or table.
func fillSection(out *strings.Builder, template, name string, s *scope) (string, error) {
	end := "{{/" + name + "}}"
	body, rest, found := strings.Cut(template, end)
	if !found {
		return "", fmt.Errorf("section %s has no end", name)
	}
	var keys []string
	values := map[string]any{}
	switch value := s.find(name).(type) {
	case []string:
		for i, v := range value {
			keys = append(keys, strconv.Itoa(i))
			values[strconv.Itoa(i)] = v
		}
	case map[string]any:
		keys = slices.Sorted(maps.Keys(value))
		values = value
	}
	for i, key := range keys {
		entry := &scope{
			value: values[key],
			key:   key,
			last:  i == len(keys)-1,
			outer: s,
		}
		if _, err := fillPart(out, body+end, name, entry); err != nil {
			return "", err
		}
	}
	return rest, nil
}

// find returns the value of a name, which is nil if there is none.
func (s *scope) find(name string) any {
	if name == "." {
		return s.value
	}
	first, rest, _ := strings.Cut(name, ".")
	for at := s; at != nil; at = at.outer {
		fields, ok := at.value.(map[string]any)
		if !ok || fields[first] == nil {
			continue
		}
		if rest == "" {
			return fields[first]
		}
		return (&scope{value: element(fields[first])}).find(rest)
	}
	return nil
}

// element returns a list as a table by position, so that its elements have names.
func element(value any) any {
	list, ok := value.([]int)
	if !ok {
		return value
	}
	table := map[string]any{}
	for i, v := range list {
		table[strconv.Itoa(i)] = v
	}
	return table
}

// textOf returns the text of a placeholder.
func textOf(name string, s *scope) string {
	name, asJSON := strings.CutSuffix(name, "|json")
	value := s.find(name)
	switch {
	case asJSON:
		data, _ := json.Marshal(value)
		return string(data)
	case value == nil:
		return ""
	}
	return fmt.Sprint(value)
}
