// Package quetzalwire holds the messages and documents that cross a process
// boundary. wire.go is generated from wire.yaml by `make generate`. The structs are
// encoded as JSON, YAML or gob. The systems do not use them: the adapters, most of
// them through package quetzalcodec, convert them to and from the types of packages
// quetzalfleet and quetzalwork.
package quetzalwire

//go:generate go-jsonschema -p quetzalwire --only-models --capitalization ID --capitalization URL --tags json,yaml -o wire.go wire.yaml
