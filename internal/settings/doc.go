// Package settings parses the INI files of apricothub: the settings of a process, and the two
// lists that operators publish.
//
// The schema in api/ defines what a file may contain. A section is a message, a key is one of its
// fields with dashes instead of underscores, and the field's `setting` option holds the default,
// the range and the form. This package walks the generated descriptors, so a new setting needs no
// code here.
//
// A file with faults gives one error of type [Faults], which lists all of them with their lines.
// Unknown sections and keys are rejected: if a misspelt key were ignored, its default would
// silently stay in force.
package settings
