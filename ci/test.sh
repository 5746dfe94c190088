#!/usr/bin/env bash
# Runs the tests of every module. A test that KNOWN-RED.txt lists may fail: it is
# printed, and so is a listed test that passes. Any other failure ends with status 1.
# Usage: ci/test.sh MODULE...
set -u
cd "$(dirname "$0")/.."
known=$(sed -n 's/^test: //p' KNOWN-RED.txt)
status=0 passed=0 red=0
for m in "$@"; do
  log=$(mktemp)
  (cd "$m" && go test ${TEST_FLAGS:-} -v ./... >"$log" 2>&1)
  code=$?
  grep -E '^(ok|FAIL|panic)|no test files' "$log" | grep -v 'no test files'
  passed=$((passed + $(grep -c '^--- PASS' "$log")))
  failed=$(sed -n 's/^--- FAIL: \([^ ]*\).*/\1/p' "$log")
  unexpected=$code
  if [ -n "$failed" ] && ! grep -qE '^panic:|build failed' "$log"; then
    unexpected=0
    for t in $failed; do
      red=$((red + 1))
      if grep -qxF "$t" <<<"$known"; then echo "known red: $t"; else echo "red: $t"; unexpected=1; fi
    done
  fi
  if [ $unexpected != 0 ]; then
    status=1
    grep -vE '^(=== |--- PASS|    --- PASS|ok|PASS)' "$log" | head -200
  fi
  rm -f "$log"
done
echo "$passed passed, $red failed"
exit $status
