#!/usr/bin/env bash
# Runs a small fleet of 3 zones, 6 entries, 21 minions and 5 pools under bursts of load.
# Meanwhile a maintenance wave runs, an entry is killed and replaced, and the platform
# has an outage. The status is 1 when a guarantee is violated.
# OUT, BASE_PORT and SEED set the folder for logs, the first port and the seed.
set -u
cd "$(dirname "$0")/.."
out=${OUT:-out/demo}
base=${BASE_PORT:-21000}
seed=${SEED:-1}
rm -rf "$out" && mkdir -p "$out"
export QUETZAL_TOKEN=demo-operator-token
pids=()
stop_all() {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null; done
}
trap stop_all EXIT

platform=http://127.0.0.1:$base
admin=http://127.0.0.1:$((base + 1))
bin/quetzalstandin platform --address "127.0.0.1:$base" --admin "127.0.0.1:$((base + 1))" >"$out/platform.log" 2>&1 &
pids+=($!)
wait_for() { # URL [ATTEMPTS], one attempt every 0.1 s
  for _ in $(seq "${2:-100}"); do curl -fs -o /dev/null "$1" && return 0; sleep 0.1; done
  echo "demo: $1 does not answer" >&2; exit 1
}
wait_for "$admin/load"

pools=(freezer swaps stock churn office office office)
zones=(a b c)
logs=() entries=()
{
  echo "Pools:"
  for p in freezer swaps stock churn office; do
    spare=false min=1; [ $p = office ] && spare=true
    echo "  - {Pool: $p, Spare: $spare, Budgets: [{Zone: a, MinHosts: $min}, {Zone: b, MinHosts: $min}, {Zone: c, MinHosts: $min}]}"
  done
  echo "Queues:"
  for p in freezer swaps stock churn office; do echo "  - {Queue: $p, Pool: $p}"; done
  echo "Teams:"
  for t in parlours suppliers churners; do echo "  - {Team: $t, Weight: 1, MaxQueued: 5000}"; done
  echo "Hosts:"
} >"$out/fleet.yaml"
for z in 0 1 2; do
  zone=${zones[$z]}
  first=$((base + 100 + 20 * z)) port=$((base + 90 + z))
  bin/quetzalstandin minions --prefix "$zone-host" --count 7 --first-port $first --admin-port $port --platform "$admin" >"$out/minions-$zone.log" 2>&1 &
  pids+=($!)
  logs+=(--log "http://127.0.0.1:$port")
  for i in 0 1 2 3 4 5 6; do
    echo "  - {Host: $zone-host$((i + 1)), Address: 127.0.0.1:$((first + i)), Zone: $zone, Rack: $zone-rack$((i / 4)), Pool: ${pools[$i]}}" >>"$out/fleet.yaml"
  done
done

start_entry() { # ZONE_INDEX NUMBER
  local zone=${zones[$1]} port=$((base + 10 + 10 * $1 + 3 * $2)) name=${zones[$1]}-entry$2
  cat >"$out/$name.yaml" <<Y
Entry: $name
Zone: $zone
CallerAddress: 127.0.0.1:$port
OperatorAddress: 127.0.0.1:$((port + 1))
PeerAddress: 127.0.0.1:$((port + 2))
PlatformURL: $platform
OperatorToken: $QUETZAL_TOKEN
Y
  bin/quetzalentry run --settings "$out/$name.yaml" >>"$out/$name.log" 2>&1 &
  pids+=($!)
  last=$!
  curl -fs -o /dev/null -X PUT "$admin/hosts" -d "{\"Host\":\"$name\",\"AdminURL\":\"\",\"State\":\"Live\"}"
}
for z in 0 1 2; do
  for n in 1 2; do
    start_entry $z $n
    [ $z$n = 02 ] && victim=$last
    entries+=(--entry "http://127.0.0.1:$((base + 10 + 10 * z + 3 * n))")
  done
done
for z in 0 1 2; do for n in 1 2; do wait_for "http://127.0.0.1:$((base + 10 + 10 * z + 3 * n))/readyz"; done; done
export QUETZAL_ENTRY=http://127.0.0.1:$((base + 14)),http://127.0.0.1:$((base + 24))
bin/quetzalctl apply "$out/fleet.yaml" || exit 1
bin/quetzalctl settings set Fleet DrainTimeoutMs=10000 >/dev/null || exit 1
sleep 2

echo "demo: load starts: 5 queues with bursts, base rate 240 requests per second, 18 s"
bin/quetzalload run "${entries[@]}" --platform "$admin" "${logs[@]}" \
  --queue freezer --queue swaps --queue stock --queue churn --queue office \
  --team parlours --team suppliers --team churners --seed "$seed" \
  --rate 240 --for 18s --burst 2s --short-run 30ms --long 3 --long-run 800ms --misdeclared 20 \
  --urgent 10 --idempotent 50 --own-ids --timeout 8s --report "$out/report.html" >"$out/load.txt" 2>&1 &
load=$!
sleep 2
echo "demo: maintenance wave over all hosts starts"
bin/quetzalctl waves create spring --max-concurrent 2 >/dev/null || exit 1
sleep 3
echo "demo: entry a-entry2 killed"
kill -9 "$victim"
curl -fs -o /dev/null -X PUT "$admin/hosts" -d '{"Host":"a-entry2","AdminURL":"","State":"Gone"}'
sleep 3
echo "demo: entry a-entry2 replaced"
start_entry 0 2
sleep 2
echo "demo: outage of the platform for 3 s"
curl -fs -o /dev/null -X PUT "$admin/faults" -d '{"Outage":true,"DelayMs":0,"LoseAnswers":0,"ListLagMs":0}'
sleep 3
curl -fs -o /dev/null -X PUT "$admin/faults" -d '{"Outage":false,"DelayMs":0,"LoseAnswers":0,"ListLagMs":0}'
status=0
wait $load || status=1
cat "$out/load.txt"
for _ in $(seq 60); do
  state=$(bin/quetzalctl waves list | awk '/spring/{print}')
  grep -q Finished <<<"$state" && break
  sleep 0.5
done
bin/quetzalctl waves list
grep -q Finished <<<"$state" || { echo "demo: the wave did not finish"; status=1; }
moves=$(bin/quetzalctl decisions -o json | grep -c '"Kind": "Move"')
echo "demo: load on the platform: $(curl -fs "$admin/load")"
echo "demo: move decisions at one entry of zone a: $moves; report in $out/report.html"
[ $status = 0 ] && echo "demo: all guarantees held" || echo "demo: A GUARANTEE WAS VIOLATED"
exit $status
