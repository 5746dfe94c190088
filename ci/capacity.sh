#!/usr/bin/env bash
# Measures the cost of the control plane in an idle entry, that is the processor time,
# the memory and the control traffic, for fleets of several sizes. Prints a table for
# docs/CAPACITY.md. SECONDS is the time of one measurement, 20 by default.
# Usage: ci/capacity.sh [SECONDS]
set -u
cd "$(dirname "$0")/.."
seconds=${1:-20}
export QUETZAL_TOKEN=capacity-token
hz=$(getconf CLK_TCK)
echo "zones entries hosts pools | cpu % of a core, mean and max | RSS MB max | control KB/s mean and max"
measure() { # ZONES ENTRIES_PER_ZONE HOSTS POOLS
  local dir base=25000 pids=() entries=()
  dir=$(mktemp -d)
  bin/quetzalstandin platform --address 127.0.0.1:$base --admin 127.0.0.1:$((base + 1)) --hosts "$3" >"$dir/platform.log" 2>&1 &
  pids+=($!)
  sleep 0.5
  local zones=(a b c d e) z n port
  for ((z = 0; z < $1; z++)); do
    for ((n = 0; n < $2; n++)); do
      port=$((base + 10 + 10 * (z * $2 + n)))
      cat >"$dir/$port.yaml" <<Y
Entry: ${zones[$z]}-entry$n
Zone: ${zones[$z]}
CallerAddress: 127.0.0.1:$port
OperatorAddress: 127.0.0.1:$((port + 1))
PeerAddress: 127.0.0.1:$((port + 2))
PlatformURL: http://127.0.0.1:$base
OperatorToken: $QUETZAL_TOKEN
LogLevel: warn
Y
      bin/quetzalentry run --settings "$dir/$port.yaml" >"$dir/$port.log" 2>&1 &
      pids+=($!)
      entries+=($!:$((port + 1)))
    done
  done
  {
    echo "Pools:"
    for ((n = 0; n < $4; n++)); do echo "  - {Pool: pool$n, Spare: false, Budgets: [{Zone: ${zones[$((n % $1))]}, MinHosts: 1}]}"; done
    echo "Queues:"
    for ((n = 0; n < $4; n++)); do echo "  - {Queue: pool$n, Pool: pool$n}"; done
    echo "Teams:"
    for ((n = 0; n < 87; n++)); do echo "  - {Team: team$n, Weight: 1, MaxQueued: 0}"; done
    echo "Hosts:"
    for ((n = 0; n < $3; n++)); do
      z=${zones[$((n % $4 % $1))]}
      echo "  - {Host: host$n, Address: 127.0.0.1:1, Zone: $z, Rack: $z-r$((n / 4)), Pool: pool$((n % $4))}"
    done
  } >"$dir/fleet.yaml"
  sleep 4
  QUETZAL_ENTRY=http://127.0.0.1:$((base + 11)) bin/quetzalctl apply "$dir/fleet.yaml" >/dev/null || echo "apply failed"
  sleep 25
  sample() {
    for e in "${entries[@]}"; do
      local bytes
      bytes=$(curl -s "http://127.0.0.1:${e#*:}/metrics" | awk '/^quetzalstair_control_bytes /{printf "%.0f", $2}')
      echo "${e%%:*} $(awk '{print $14+$15}' "/proc/${e%%:*}/stat") $bytes $(awk '/VmRSS/{print $2}' "/proc/${e%%:*}/status")"
    done
  }
  sample >"$dir/before"
  sleep "$seconds"
  sample >"$dir/after"
  join "$dir/before" "$dir/after" | awk -v s="$seconds" -v hz="$hz" -v head="$1 $(($1 * $2)) $3 $4" '
    {c=($5-$2)/hz/s*100; b=($6-$3)/s/1000; cs+=c; bs+=b; n++; if(c>cm)cm=c; if(b>bm)bm=b; if($7/1000>rm)rm=$7/1000}
    END {printf "%s | %.2f %.2f | %.0f | %.2f %.2f\n", head, cs/n, cm, rm, bs/n, bm}'
  kill "${pids[@]}" 2>/dev/null
  wait "${pids[@]}" 2>/dev/null
  rm -rf "$dir"
}
measure 3 1 50 5
measure 3 3 50 5
measure 3 3 570 142
measure 5 3 570 142
