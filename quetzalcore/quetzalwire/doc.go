// Package quetzalwire holds the messages and documents that cross a process
// boundary. wire.go is generated from wire.yaml by `make generate`; JSON, YAML
// and gob all carry its plain structs. No decision is taken on these types: the
// adapters translate them to and from the types of package quetzalfleet.
package quetzalwire

//go:generate go-jsonschema -p quetzalwire --only-models --capitalization ID --capitalization URL --tags json,yaml -o wire.go wire.yaml
