#!/usr/bin/env bash
# Runs an example deployment on loopback: starts an emulated platform, one daemon
# and one emulated backend server per worker, creates configuration, teams and
# caller keys, sends load, kills a daemon, drains a data centre, returns it to
# service and prints the measurements. Exits 0 only if the audit accounts for every
# request and finds no fault. Stops only the processes that it started.
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
	# Emulated backend servers wait for a drain by their daemons after SIGTERM. The
	# run is over, so kill them.
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	exit "$status"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

log_step() { printf '[%3d s] %s\n' "$((SECONDS - started_at))" "$*"; }

# start NAME COMMAND...: starts a process that logs to the output directory.
start() {
	local name=$1
	shift
	"$@" >"$out/logs/$name.log" 2>&1 &
	pids[$name]=$!
}

# wait_listening HOST:PORT: waits until the address accepts connections.
wait_listening() {
	local attempts=0
	until (exec 3<>"/dev/tcp/${1%:*}/${1##*:}") 2>/dev/null; do
		attempts=$((attempts + 1))
		if [ "$attempts" -gt 200 ]; then
			echo "demo: $1 does not accept connections" >&2
			return 1
		fi
		sleep 0.05
	done
}

now_ms() { date +%s%3N; }

# wait_for_load SECONDS: waits until the load has run for SECONDS.
wait_for_load() {
	local remaining_cs=$(((load_started_at + $1 * 1000 - $(now_ms)) / 10))
	[ "$remaining_cs" -le 0 ] || sleep "$((remaining_cs / 100)).$(printf %02d $((remaining_cs % 100)))"
}

# add_measurement NAME VALUE: adds a row to the table printed at the end.
rows=()
add_measurement() { rows+=("$1"$'\t'"$2"); }

# json_number FIELD: prints the first number of a JSON field from standard input.
json_number() { sed -n "s/.*\"$1\": \([0-9]*\).*/\1/p" | head -n 1; }

rm -rf "$out"
mkdir -p "$out/logs"
$ctl example -dir "$out" -base-port "$base_port" "examples/$example"
export SESAMEMOORCTL_SETTINGS=$out/tool.json

log_step "platform"
start platform $ctl emulate platform -listen "127.0.0.1:$base_port"
wait_listening "127.0.0.1:$base_port"

log_step "configuration, teams and caller keys"
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

log_step "daemons and backend servers"
first_data_centre=""
while IFS=$'\t' read -r name service data_centre addr admin slots connections connect_ms service_ms fence; do
	start "daemon-$name" bin/sesamemoord run "$out/daemons/$name.json"
	start "backend-$name" $ctl emulate backend -name "$name" -service "$service" -listen "$addr" -daemon "$admin" \
		-slots "$slots" -connections "$connections" -connect-time "${connect_ms}ms" -service-time "${service_ms}ms" \
		-checks-fence="$fence"
	first_data_centre=${first_data_centre:-$data_centre}
	victim=$name
done <"$out/backends.tsv"
daemons_started_at=$(now_ms)
$ctl status -ready -timeout 30s
add_measurement "from start until every shard has an owner" "$(($(now_ms) - daemons_started_at)) ms"

log_step "load"
load_started_at=$(now_ms)
$ctl load -keys "$out/keys.json" -out "$out/report" "$out/load.json" >"$out/report.log" 2>"$out/logs/load.log" &
load_pid=$!
pids[load]=$load_pid

wait_for_load 5
log_step "kill -9 the daemon of backend server $victim"
killed_at=$(now_ms)
disown "${pids[daemon-$victim]}" # keeps the shell from reporting its exit
kill -KILL "${pids[daemon-$victim]}"
unset "pids[daemon-$victim]"
$ctl status -ready -skip-unreachable -timeout 15s >"$out/logs/after-kill.txt"
add_measurement "from the kill until every shard has an owner" "$(($(now_ms) - killed_at)) ms"

wait_for_load 10
log_step "drain $first_data_centre"
drain=$($ctl drain data-centre -wait -timeout 15s -o json "$first_data_centre")
add_measurement "from the drain until the data centre owns no shard" "$(json_number empty_ms <<<"$drain") ms"

wait_for_load 17
log_step "return $first_data_centre"
returned_at=$(now_ms)
version=$($ctl return data-centre -o json "$first_data_centre" | json_number version)
$ctl config wait -skip-unreachable -timeout 7s "$version" >"$out/logs/in-force.txt"
add_measurement "from the return until in force at every daemon" "$(($(now_ms) - returned_at)) ms"

log_step "waiting for the last answers"
status=0
wait "$load_pid" || status=$?
unset "pids[load]"

cat "$out/report.log"
echo
echo "operations"
for row in "${rows[@]}"; do printf '%-55s %s\n' "${row%%$'\t'*}" "${row##*$'\t'}"; done
log_step "plots and report in $out/report, logs in $out/logs"
if [ "$status" -ne 0 ]; then
	echo "demo: the load exited with status $status: requests with faults, see the audit above" >&2
	exit 1
fi
