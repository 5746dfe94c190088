#!/usr/bin/env bash
# Runs the tests of the given modules and prints the failed ones. The status is 1 when a
# test fails that KNOWN-RED.txt does not list, and when a build fails or a test panics.
# TEST_FLAGS are additional flags of go test.
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
