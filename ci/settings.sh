#!/usr/bin/env bash
# Generates the settings reference from the schema. `make reference` writes it to
# docs/SETTINGS.md, and `make test` checks that this file is up to date.
set -eu
cd "$(dirname "$0")/.."
table() { # DEFINITION
  echo "| key | type | required | bounds | meaning |"
  echo "|---|---|---|---|---|"
  awk -v want="  $1:" '
    $0 == want {on=1; next}
    on && /^  [A-Z]/ {exit}
    on && /^    required:/ {required=$0}
    on && /^      [A-Z][A-Za-z]*: \{/ {
      line=$0; key=line; sub(/:.*/, "", key); gsub(/ /, "", key); keys[++n]=key
      type=line; sub(/.*type: /, "", type); sub(/[,}].*/, "", type); types[key]=type
      if (match(line, /enum: \[[^]]*\]/)) bounds[key]=substr(line, RSTART+7, RLENGTH-8)
      low=""; high=""
      if (match(line, /minimum: [0-9]+/)) low=substr(line, RSTART+9, RLENGTH-9)
      if (match(line, /maximum: [0-9]+/)) high=substr(line, RSTART+9, RLENGTH-9)
      if (low != "") bounds[key]=low " to " high
      text=""
      if (match(line, /description: .*\}$/)) text=substr(line, RSTART+13, RLENGTH-14)
      sub(/^\047/, "", text); sub(/\047$/, "", text); gsub(/\047\047/, "\047", text); texts[key]=text
    }
    END {
      gsub(/[][,]/, " ", required); required=" " required " "
      for (i=1; i<=n; i++) {
        k=keys[i]; printf "| `%s` | %s | %s | %s | %s |\n", k, types[k], (required ~ (" " k " ")) ? "yes" : "no", bounds[k], texts[k]
      }
    }' quetzalcore/quetzalwire/wire.yaml
}
cat <<'T'
# Settings reference

Generated from `quetzalcore/quetzalwire/wire.yaml` by `make reference`; do not edit.

## Settings file of an entry

YAML, given with `quetzalentry run --settings FILE` and checked by `quetzalentry check FILE`.
An unknown key, a missing one or a value out of bounds ends the process with status 2 and
names file, line and key.

T
table EntrySettings
cat <<'T'

## Values of a node of the settings tree

Set with `quetzalctl settings set PATH KEY=VALUE...` on `Fleet`, `Fleet/ZONE` or
`Fleet/ZONE/POOL`. A value holds below its node unless a deeper node sets it.

T
table SettingValues
