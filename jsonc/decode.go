// Package jsonc decodes JSON with comments into Go structs and reports every
// validation error with the path of its field.
package jsonc

import (
	"encoding"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"

	"github.com/ebonyworks/ebonyworks"
)

// maxDepth bounds the nesting of objects and arrays. The parser is recursive
// and has no limit of its own, and a stack overflow can't be recovered.
const maxDepth = 32

// positionPattern matches the line and column in the errors of the parser.
var positionPattern = regexp.MustCompile(`line \d+, column \d+`)

// identifierPattern matches field names that need no quotes in a path.
var identifierPattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9]*$`)

// Decode reads JSON with comments into the struct that target points to.
//
// Names must be those of the exported Go fields. A field is required unless
// it has the option omitempty or omitzero in its json tag. Fields have the
// types string, bool, int, uint64, slice, struct, or a type that implements
// [encoding.TextUnmarshaler]. Unknown and duplicate names, null, and values of
// another type are reported as problems. Messages quote a value only through the errors of
// UnmarshalText, so types that hold secrets control what is shown.
func Decode(bytes []byte, target any) []ebonyworks.Problem {
	value, problem := parse(bytes)
	if problem != nil {
		return []ebonyworks.Problem{*problem}
	}
	var d decoder
	d.value("", value, reflect.ValueOf(target).Elem())
	return d.problems
}

func parse(bytes []byte) (hujson.Value, *ebonyworks.Problem) {
	if !utf8.Valid(bytes) {
		return hujson.Value{}, &ebonyworks.Problem{Message: "the document is not valid UTF-8"}
	}
	if exceedsMaxDepth(bytes) {
		message := fmt.Sprintf("the document is nested more than %d levels deep", maxDepth)
		return hujson.Value{}, &ebonyworks.Problem{Message: message}
	}
	value, err := hujson.Parse(bytes)
	if err == nil {
		return value, nil
	}
	// The parser's error quotes the malformed text, which may be a secret. Therefore
	// the message states only the position.
	message := "malformed JSON"
	if errors.Is(err, io.ErrUnexpectedEOF) {
		message = "unexpected end of the document"
	}
	if found := positionPattern.FindString(err.Error()); found != "" {
		message += " at " + found
	}
	return hujson.Value{}, &ebonyworks.Problem{Message: message}
}

type decoder struct {
	problems []ebonyworks.Problem
}

func (d *decoder) add(path, format string, arguments ...any) {
	problem := ebonyworks.Problem{Path: path, Message: fmt.Sprintf(format, arguments...)}
	d.problems = append(d.problems, problem)
}

func (d *decoder) value(path string, value hujson.Value, target reflect.Value) {
	if literal, ok := value.Value.(hujson.Literal); ok && literal.Kind() == 'n' {
		d.add(path, "must not be null")
		return
	}
	if text, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(path, value, text)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.object(path, value, target)
	case reflect.Slice:
		d.array(path, value, target)
	case reflect.String:
		if literal, ok := d.literal(path, value, '"', "a string"); ok {
			target.SetString(literal.String())
		}
	case reflect.Bool:
		if literal, ok := d.literal(path, value, 't', "true or false"); ok {
			target.SetBool(literal.Bool())
		}
	case reflect.Int:
		d.integer(path, value, target)
	case reflect.Uint64:
		d.unsigned(path, value, target)
	default:
		panic("jsonc: unsupported type " + target.Type().String())
	}
}

// literal returns the value as a literal of the kind, or records a problem and
// returns false. The kind 't' stands for both true and false.
func (d *decoder) literal(path string, value hujson.Value, kind hujson.Kind, want string) (hujson.Literal, bool) {
	literal, ok := value.Value.(hujson.Literal)
	if ok {
		found := literal.Kind()
		if found == 'f' {
			found = 't'
		}
		ok = found == kind
	}
	if !ok {
		d.add(path, "must be %s", want)
	}
	return literal, ok
}

func (d *decoder) text(path string, value hujson.Value, target encoding.TextUnmarshaler) {
	literal, ok := d.literal(path, value, '"', "a string")
	if !ok {
		return
	}
	if err := target.UnmarshalText([]byte(literal.String())); err != nil {
		d.add(path, "%s", err.Error())
	}
}

func (d *decoder) integer(path string, value hujson.Value, target reflect.Value) {
	literal, ok := d.literal(path, value, '0', "an integer")
	if !ok {
		return
	}
	number, err := strconv.ParseInt(string(literal), 10, 64)
	if err != nil {
		d.add(path, "must be an integer of at most 64 bits")
		return
	}
	target.SetInt(number)
}

func (d *decoder) unsigned(path string, value hujson.Value, target reflect.Value) {
	literal, ok := d.literal(path, value, '0', "an integer")
	if !ok {
		return
	}
	number, err := strconv.ParseUint(string(literal), 10, 64)
	if err != nil {
		d.add(path, "must be an integer from 0 of at most 64 bits")
		return
	}
	target.SetUint(number)
}

func (d *decoder) array(path string, value hujson.Value, target reflect.Value) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.add(path, "must be an array")
		return
	}
	if len(array.Elements) == 0 {
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.value(Index(path, i), element, target.Index(i))
	}
}

func (d *decoder) object(path string, value hujson.Value, target reflect.Value) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.add(path, "must be an object")
		return
	}
	found := make(map[string]bool, len(object.Members))
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		inner := Join(path, quoteName(name))
		if found[name] {
			d.add(inner, "appears twice")
			continue
		}
		found[name] = true
		field, known := target.Type().FieldByName(name)
		if !known || !field.IsExported() || field.Anonymous {
			d.add(inner, "unknown field")
			continue
		}
		d.value(inner, member.Value, target.FieldByIndex(field.Index))
	}
	d.checkMissing(path, target.Type(), found)
}

func (d *decoder) checkMissing(path string, target reflect.Type, found map[string]bool) {
	for i := range target.NumField() {
		field := target.Field(i)
		_, options, _ := strings.Cut(field.Tag.Get("json"), ",")
		optional := options == "omitempty" || options == "omitzero"
		if !optional && !found[field.Name] {
			d.add(Join(path, field.Name), "is missing")
		}
	}
}

// quoteName returns the name as it appears in a path: quoted, unless it is an
// identifier.
func quoteName(name string) string {
	if identifierPattern.MatchString(name) {
		return name
	}
	return strconv.Quote(name)
}

// Join returns the path of a field of the object at the outer path.
func Join(outer, name string) string {
	if outer == "" {
		return name
	}
	return outer + "." + name
}

// Index returns the path of an element of the array at the outer path.
func Index(outer string, index int) string {
	return outer + "[" + strconv.Itoa(index) + "]"
}
