package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io/fs"
	"path"
	"regexp"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"sigs.k8s.io/yaml"

	basilloomv1 "github.com/basilloom/basilloom/gen/basilloom/v1"
)

// MaxFileBytes is the maximum size of a configuration file in bytes.
const MaxFileBytes = 4 << 20

var (
	repeatedKey = regexp.MustCompile(`line (\d+): key "((?:[^"\\]|\\.)*)" already set in map`)
	// A line that starts with three hyphens is always a document marker in YAML.
	documentMarker = regexp.MustCompile(`(?m)^---(\s|$)`)
	leadingMarker  = regexp.MustCompile(`\A(?:\s*(?:[#%][^\n]*)?\n)*---(\s|$)`)
)

// objectID identifies an object of a configuration.
type objectID struct {
	kind protoreflect.Name
	name string
}

// Merged is a configuration together with the file of each object.
type Merged struct {
	Config *basilloomv1.Config
	files  map[objectID]string
}

// Read merges and checks the .yaml files of a folder. The error is of type Errors.
func Read(folder fs.FS, now time.Time) (*basilloomv1.Config, error) {
	merged, err := Merge(folder)
	if err != nil {
		return nil, err
	}
	if err := merged.Check(now); err != nil {
		return nil, err
	}
	return merged.Config, nil
}

// Merge joins the .yaml files of a folder in the order of their names. A later
// file's object replaces an earlier one of the same kind and name as a whole.
// Hidden files, subfolders and files of other types are ignored. A .yml file is an
// error because it is most likely meant to be read. The error is of type Errors and
// holds the faults of all files.
func Merge(folder fs.FS) (*Merged, error) {
	entries, err := fs.ReadDir(folder, ".")
	if err != nil {
		return nil, Errors{{Reason: "folder cannot be read: " + err.Error()}}
	}
	var faults Errors
	merged := &Merged{Config: &basilloomv1.Config{}, files: map[objectID]string{}}
	found := false
	for _, entry := range entries {
		name := entry.Name()
		if entry.IsDir() || strings.HasPrefix(name, ".") {
			continue
		}
		switch path.Ext(name) {
		case ".yml":
			faults.add(name, "", "file name must end in .yaml")
		case ".yaml":
			found = true
			merged.addFile(folder, name, &faults)
		}
	}
	if !found && len(faults) == 0 {
		faults.add("", "", "folder contains no .yaml file")
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return merged, nil
}

func (m *Merged) addFile(folder fs.FS, name string, faults *Errors) {
	info, err := fs.Stat(folder, name)
	if err == nil && info.Size() > MaxFileBytes {
		faults.add(name, "", "file is larger than %d bytes", MaxFileBytes)
		return
	}
	data, err := fs.ReadFile(folder, name)
	if err != nil {
		faults.add(name, "", "file cannot be read: %v", err)
		return
	}
	part, ok := decodeFile(name, data, faults)
	if ok {
		m.merge(name, part)
	}
}

// decodeFile decodes one file and reports whether it has no faults.
func decodeFile(file string, data []byte, faults *Errors) (*basilloomv1.Config, bool) {
	before := len(*faults)
	document, ok := toJSON(file, data, faults)
	if !ok {
		return nil, false
	}
	part := &basilloomv1.Config{}
	decodeMessage(file, "", document, part.ProtoReflect(), faults)
	checkNamesInFile(file, part, faults)
	return part, len(*faults) == before
}

// toJSON converts YAML to JSON. It rejects a second document because the YAML
// library reads only the first.
func toJSON(file string, data []byte, faults *Errors) (json.RawMessage, bool) {
	markers := len(documentMarker.FindAllIndex(data, -1))
	if markers > 1 || markers == 1 && !leadingMarker.Match(data) {
		faults.add(file, "", "file contains more than one YAML document")
		return nil, false
	}
	document, err := yaml.YAMLToJSONStrict(data)
	if err != nil {
		addYAMLError(file, err, faults)
		return nil, false
	}
	if string(bytes.TrimSpace(document)) == "null" {
		faults.add(file, "", "file is empty")
		return nil, false
	}
	return document, true
}

func addYAMLError(file string, err error, faults *Errors) {
	repeated := repeatedKey.FindAllStringSubmatch(err.Error(), -1)
	for _, match := range repeated {
		faults.add(file, match[2], "repeated field (line %s)", match[1])
	}
	if len(repeated) == 0 {
		faults.add(file, "", "invalid YAML: %s", strings.TrimPrefix(err.Error(), "yaml: "))
	}
}

// decodeMessage decodes a message field by field because protojson reports only the
// first fault and does not report its path.
func decodeMessage(file, parentPath string, raw json.RawMessage, into protoreflect.Message, faults *Errors) {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(raw, &object); err != nil || object == nil {
		faults.add(file, parentPath, "wrong type: must be an object")
		return
	}
	keys := make([]string, 0, len(object))
	for key := range object {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		fieldPath := key
		if parentPath != "" {
			fieldPath = parentPath + "." + key
		}
		field := into.Descriptor().Fields().ByName(protoreflect.Name(key))
		if field == nil {
			faults.add(file, fieldPath, "unknown field")
			continue
		}
		decodeField(file, fieldPath, object[key], into, field, faults)
	}
}

func decodeField(file, fieldPath string, raw json.RawMessage, into protoreflect.Message, field protoreflect.FieldDescriptor, faults *Errors) {
	if !field.IsList() {
		decodeValue(file, fieldPath, raw, into, field, faults)
		return
	}
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil || items == nil {
		faults.add(file, fieldPath, "wrong type: must be a list")
		return
	}
	for i, item := range items {
		decodeValue(file, fmt.Sprintf("%s[%d]", fieldPath, i), item, into, field, faults)
	}
}

// decodeValue sets a single value or appends one item of a list.
func decodeValue(file, fieldPath string, raw json.RawMessage, into protoreflect.Message, field protoreflect.FieldDescriptor, faults *Errors) {
	if string(raw) == "null" {
		faults.add(file, fieldPath, "value is missing")
		return
	}
	if isOwnMessage(field) {
		if field.IsList() {
			decodeMessage(file, fieldPath, raw, into.Mutable(field).List().AppendMutable().Message(), faults)
		} else {
			decodeMessage(file, fieldPath, raw, into.Mutable(field).Message(), faults)
		}
		return
	}
	if isNumber(field) && raw[0] == '"' {
		faults.add(file, fieldPath, "wrong type: must be %s", typeName(field))
		return
	}
	value := raw
	if field.IsList() {
		value = slices.Concat([]byte("["), raw, []byte("]"))
	}
	single := slices.Concat([]byte(`{"`+field.Name()+`":`), value, []byte("}"))
	decoded := into.New().Interface()
	if err := protojson.Unmarshal(single, decoded); err != nil {
		faults.add(file, fieldPath, "wrong type: must be %s", typeName(field))
		return
	}
	proto.Merge(into.Interface(), decoded)
}

func isOwnMessage(field protoreflect.FieldDescriptor) bool {
	return field.Message() != nil && field.Message().ParentFile().Package() == "basilloom.v1"
}

// isNumber reports whether the field is of a kind for which protojson also accepts
// a string.
func isNumber(field protoreflect.FieldDescriptor) bool {
	switch field.Kind() {
	case protoreflect.Int32Kind, protoreflect.Int64Kind, protoreflect.DoubleKind:
		return true
	default:
		return false
	}
}

func typeName(field protoreflect.FieldDescriptor) string {
	if field.Message() != nil {
		switch field.Message().Name() {
		case "Duration":
			return "a duration such as 1.5s"
		case "Timestamp":
			return "an RFC 3339 time such as 2026-01-31T12:00:00Z"
		}
	}
	switch field.Kind() {
	case protoreflect.Int32Kind, protoreflect.Int64Kind:
		return "an integer in range"
	case protoreflect.DoubleKind:
		return "a number"
	case protoreflect.BoolKind:
		return "true or false"
	case protoreflect.EnumKind:
		values := field.Enum().Values()
		names := make([]string, 0, values.Len())
		for i := 1; i < values.Len(); i++ {
			names = append(names, string(values.Get(i).Name()))
		}
		return "one of " + strings.Join(names, ", ")
	default:
		return "a string, in quotes if it looks like another type"
	}
}

func checkNamesInFile(file string, part *basilloomv1.Config, faults *Errors) {
	seen := map[objectID]bool{}
	eachObject(part, func(o object) {
		if o.id.name == "" {
			return // reported by Check, or by decodeFile if the name has the wrong type
		}
		if seen[o.id] {
			faults.add(file, fmt.Sprintf("%s[%d].name", o.list, o.index), "%s %q occurs twice in this file", o.id.kind, o.id.name)
		}
		seen[o.id] = true
	})
}

// merge adds the objects of a file. It replaces existing objects in place, so the
// order is that of first appearance.
func (m *Merged) merge(file string, part *basilloomv1.Config) {
	positions := map[objectID]int{}
	eachObject(m.Config, func(o object) { positions[o.id] = o.index })
	target := m.Config.ProtoReflect()
	eachObject(part, func(o object) {
		list := target.Mutable(o.field).List()
		position, exists := positions[o.id]
		if exists && o.id.name != "" {
			list.Set(position, protoreflect.ValueOfMessage(o.message))
		} else {
			list.Append(protoreflect.ValueOfMessage(o.message))
		}
		m.files[o.id] = file
	})
	if part.GetLimits() != nil {
		m.Config.Limits = part.Limits
		m.files[objectID{kind: "limits"}] = file
	}
}

// object is one element of a list of a configuration.
type object struct {
	id      objectID
	list    protoreflect.Name
	index   int
	field   protoreflect.FieldDescriptor
	message protoreflect.Message
}

// eachObject visits all named objects in the order of the schema.
func eachObject(config *basilloomv1.Config, visit func(object)) {
	message := config.ProtoReflect()
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if !field.IsList() {
			continue
		}
		kind := protoreflect.Name(strings.ToLower(string(field.Message().Name())))
		nameField := field.Message().Fields().ByName("name")
		list := message.Get(field).List()
		for j := range list.Len() {
			element := list.Get(j).Message()
			name := element.Get(nameField).String()
			visit(object{objectID{kind, name}, field.Name(), j, field, element})
		}
	}
}
