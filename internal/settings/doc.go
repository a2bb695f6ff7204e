// Package settings reads the INI files of apricothub: the settings of a process,
// and the two lists that operators publish.
//
// The schema in api/ decides what a file may hold. A section is a message, a key
// is a field of it with dashes for underscores, and the field's `setting` option
// carries the default, the limits and the form. This package walks the generated
// descriptors, so that a new setting needs no code here.
//
// A file with faults gives one error, of type [Faults], that lists all of them
// with their lines. Whatever the schema does not name is refused: a misspelt key
// that is silently ignored would leave a default in force that nobody chose.
package settings
