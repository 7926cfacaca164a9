#!/usr/bin/env bash
# Runs an example deployment on loopback: starts the platform stand-in, one
# daemon and one backend server stand-in per worker, creates configuration,
# teams and caller keys, sends a load, kills a daemon, drains a data centre and
# returns it, and prints what was measured. Exits 0 only if every request is
# accounted for without a fault. Stops exactly the processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

example=${1:-hanbit}
base_port=${DEMO_BASE_PORT:-21000}
out=out/demo-$example
ctl=bin/sesamemoorctl
started_at=$SECONDS

declare -A pids=()

stop_all() {
	local status=$? pid
	trap - EXIT
	for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	# The stand-ins would wait for their daemons to drain them; the run is over.
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	exit "$status"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

say() { printf '[%3d s] %s\n' "$((SECONDS - started_at))" "$*"; }

# start NAME COMMAND...: runs a process with its log in the output directory.
start() {
	local name=$1
	shift
	"$@" >"$out/logs/$name.log" 2>&1 &
	pids[$name]=$!
}

# listening HOST:PORT: waits until the address takes connections.
listening() {
	local tries=0
	until (exec 3<>"/dev/tcp/${1%:*}/${1##*:}") 2>/dev/null; do
		tries=$((tries + 1))
		if [ "$tries" -gt 200 ]; then
			echo "demo: nothing listens on $1" >&2
			return 1
		fi
		sleep 0.05
	done
}

now_ms() { date +%s%3N; }

# until_load SECONDS: waits until the load has run for so long.
until_load() {
	local left=$(((load_started + $1 * 1000 - $(now_ms)) / 10))
	[ "$left" -le 0 ] || sleep "$((left / 100)).$(printf %02d $((left % 100)))"
}

# measured NAME VALUE: a row of the closing table.
rows=()
measured() { rows+=("$1"$'\t'"$2"); }

# value FIELD: a number of the tool's JSON output on standard input.
value() { sed -n "s/.*\"$1\": \([0-9]*\).*/\1/p" | head -n 1; }

rm -rf "$out"
mkdir -p "$out/logs"
$ctl example -dir "$out" -base-port "$base_port" "examples/$example"
export SESAMEMOORCTL_SETTINGS=$out/tool.json

say "platform"
start platform $ctl emulate platform -listen "127.0.0.1:$base_port"
listening "127.0.0.1:$base_port"

say "configuration, teams and caller keys"
$ctl config create -comment "demo" <"examples/$example/config.json"
separator="{"
while IFS=$'\t' read -r team rate burst services; do
	$ctl team set -rate "$rate" -burst "$burst" -services "$services" "$team" >/dev/null
	key=$($ctl key issue "$team" demo)
	printf '%s"%s":"%s"' "$separator" "$team" "$key" >>"$out/keys.json"
	separator=","
done <"$out/teams.tsv"
echo "}" >>"$out/keys.json"
$ctl team list

say "daemons and backend servers"
first_data_centre=""
while IFS=$'\t' read -r name service data_centre addr admin slots connections connect_ms service_ms fence; do
	start "daemon-$name" bin/sesamemoord run "$out/daemons/$name.json"
	start "backend-$name" $ctl emulate backend -name "$name" -service "$service" -listen "$addr" -daemon "$admin" \
		-slots "$slots" -connections "$connections" -connect-time "${connect_ms}ms" -service-time "${service_ms}ms" \
		-checks-fence="$fence"
	first_data_centre=${first_data_centre:-$data_centre}
	victim=$name
done <"$out/backends.tsv"
ready_from=$(now_ms)
$ctl status -ready -timeout 30s
measured "from start until every shard has an owner" "$(($(now_ms) - ready_from)) ms"

say "load"
load_started=$(now_ms)
$ctl load -keys "$out/keys.json" -out "$out/report" "$out/load.json" >"$out/report.log" 2>"$out/logs/load.log" &
load_pid=$!
pids[load]=$load_pid

until_load 5
say "kill -9 the daemon beside $victim"
killed=$(now_ms)
disown "${pids[daemon-$victim]}" # the shell need not report its end
kill -KILL "${pids[daemon-$victim]}"
unset "pids[daemon-$victim]"
$ctl status -ready -skip-unreachable -timeout 15s >"$out/logs/after-kill.txt"
measured "from the kill until every shard has an owner" "$(($(now_ms) - killed)) ms"

until_load 10
say "drain $first_data_centre"
drain=$($ctl drain data-centre -wait -timeout 15s -o json "$first_data_centre")
measured "from the drain until the data centre owns no shard" "$(value empty_ms <<<"$drain") ms"

until_load 17
say "return $first_data_centre"
returned=$(now_ms)
version=$($ctl return data-centre -o json "$first_data_centre" | value version)
$ctl config wait -skip-unreachable -timeout 7s "$version" >"$out/logs/in-force.txt"
measured "from the return until in force at every daemon" "$(($(now_ms) - returned)) ms"

say "waiting for the last answers"
status=0
wait "$load_pid" || status=$?
unset "pids[load]"

cat "$out/report.log"
echo
echo "operations"
for row in "${rows[@]}"; do printf '%-55s %s\n' "${row%%$'\t'*}" "${row##*$'\t'}"; done
say "plots and report in $out/report, logs in $out/logs"
if [ "$status" -ne 0 ]; then
	echo "demo: the load ended with status $status: requests with faults, see the audit above" >&2
	exit 1
fi
