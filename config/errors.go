// Package config reads, checks, stores and distributes the operators'
// configuration.
package config

import (
	"fmt"
	"strings"
)

// FieldError is one fault in a configuration. The error recurs until the
// configuration is changed.
type FieldError struct {
	// File is the name inside the folder, or empty if the configuration was not read from a folder.
	File string `json:"file"`
	// Field is a path such as routes[1].tier or route "plans": tier. It is empty if the fault concerns the whole file.
	Field string `json:"field"`
	// Reason says what is wrong with the field.
	Reason string `json:"reason"`
}

// Error returns file, field and reason.
func (e FieldError) Error() string {
	parts := make([]string, 0, 3)
	for _, part := range []string{e.File, e.Field, e.Reason} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ": ")
}

// Errors holds all faults found in a configuration.
type Errors []FieldError

// Error returns one line for each fault.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, fault := range e {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

func (e *Errors) add(file, field, format string, args ...any) {
	*e = append(*e, FieldError{File: file, Field: field, Reason: fmt.Sprintf(format, args...)})
}

// orNil keeps an empty list from becoming a non-nil error.
func (e Errors) orNil() error {
	if len(e) == 0 {
		return nil
	}
	return e
}
