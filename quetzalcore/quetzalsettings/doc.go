// Package quetzalsettings checks settings that people write: the YAML file of a
// process, and the values of a node of the settings tree. Every error names the
// place and the field.
package quetzalsettings
