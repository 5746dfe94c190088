// Package quetzalsettings decodes and validates settings from operators: the YAML
// file of a process, and the values of a node of the settings tree. Errors name the
// field and, for a file, the position.
package quetzalsettings
