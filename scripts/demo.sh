#!/usr/bin/env bash
# Runs hawthornpost on one machine: stand-ins for the platform, two engines and a booking service, and three entry hosts
# on loopback addresses. Streams a generation, kills its engine halfway, verifies that the answer is complete, and checks
# that two requests with the same idempotency key book only once.
set -euo pipefail
cd "$(dirname "$0")/.."

# Does not use 127.0.0.0/24, where other programs listen.
net=127.77.7
prompt="Field log of the crew at mound 12: cleared, two photographs, one find"
account_key=demo-key-of-the-crews-account
operator_key=demo-key-of-the-operators
work=$(mktemp -d)
declare -A pids=()

cleanup() {
  local code=$?
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  if [ "$code" -ne 0 ]; then
    echo "demo: failed; logs are in $work" >&2
  else
    rm -rf "$work"
  fi
}
trap cleanup EXIT

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

# Sends a request and prints the response body. Uses the /dev/tcp of bash, so that the demo needs no HTTP client.
http() { # IP:PORT METHOD PATH [BODY] [HEADER]...
  local address=$1 method=$2 path=$3 body=${4:-} text header
  text="$method $path HTTP/1.1"$'\r\n'"host: $address"$'\r\n'"connection: close"$'\r\n'
  for header in "${@:5}"; do
    text+="$header"$'\r\n'
  done
  exec 3<>"/dev/tcp/${address%:*}/${address#*:}"
  printf '%scontent-length: %s\r\n\r\n%s' "$text" "${#body}" "$body" >&3
  sed '1,/^\r$/d' <&3
  exec 3>&-
}

wait_until() { # DESCRIPTION COMMAND...
  local description=$1
  shift
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then
      return 0
    fi
    sleep 0.1
  done
  echo "demo: timed out waiting for $description" >&2
  return 1
}

echo "== build"
cargo build --workspace --bins --locked --quiet
bin=${CARGO_TARGET_DIR:-target}/debug
export HAWTHORNPOST_ENTRIES=$net.11:7101,$net.12:7101,$net.13:7101

echo "== start platform, engines, booking service and three entry hosts"
cat >"$work/assets.csv" <<END
name,address,data_centre,role,version,model,capacity_tokens,fencing,service,status_lookup
engine-1,$net.21:8001,dc1,engine,v1,reports,200000,checked,,
engine-2,$net.22:8001,dc2,engine,v1,reports,200000,checked,,
booking-1,$net.31:8101,dc1,service,v1,,,,booking,yes
END
cat >"$work/rules.ini" <<END
[account crews]
key_hash = $("$bin/hawthornpost" hash-key <<<"$account_key")

[model reports]
version = v1

[service booking]
END
"$bin/hawthornpost" validate --inventory "$work/assets.csv" --rules "$work/rules.ini"

start platform "$bin/standin-platform" --listen $net.1:7001
for n in 1 2; do
  start "engine-$n" "$bin/standin-engine" --listen "$net.2$n:8001" --model reports --version v1 \
    --gap 20 --min-answer 200 --max-answer 200 --seed "$n"
done
start booking "$bin/standin-service" --listen $net.31:8101 --service booking --status-lookup
for n in 1 2 3; do
  seeds=$(for m in 1 2 3; do [ "$m" = "$n" ] || echo "$net.1$m:7201"; done | paste -sd,)
  cat >"$work/entry-$n.ini" <<END
[entry]
name = entry-$n
data_centre = dc$n
region = demo
listen = $net.1$n:7101
[platform]
address = $net.1:7001
poll_ms = 500
[peers]
listen = $net.1$n:7201
seeds = $seeds
key = demo-peer-key-of-three-hosts
[operators]
key_hashes = $("$bin/hawthornpost" hash-key <<<"$operator_key")
[limits]
address_lifetime_ms = 1000
END
  "$bin/hawthornpostd" --check --config "$work/entry-$n.ini" >/dev/null
  start "entry-$n" "$bin/hawthornpostd" --config "$work/entry-$n.ini"
done
as_operator() { HAWTHORNPOST_KEY=$operator_key "$bin/hawthornpost" "$@"; }
as_account() { HAWTHORNPOST_KEY=$account_key "$bin/hawthornpost" "$@"; }
wait_until "the entry hosts" as_operator dump

echo "== apply the configuration"
as_operator apply --inventory "$work/assets.csv" --rules "$work/rules.ini"
as_operator status

# A daemon accepts no generations until the other entry hosts know it, which takes up to 10 s after its start.
ready() { http "$net.1$1:7101" GET /readyz | grep -qx ready; }
for n in 1 2 3; do
  wait_until "entry-$n to accept generations" ready "$n"
done

echo "== stream a generation and kill its engine halfway"
as_account send --model reports --prompt "$prompt" >"$work/answer" &
reader=$!
wait_until "half of the answer" sh -c "[ \$(wc -w <'$work/answer') -ge 80 ]"
for n in 1 2; do
  if http "$net.2$n:8001" GET /standin/stats | grep -q '"running":1'; then
    echo "engine-$n runs the generation; killing it after $(wc -w <"$work/answer") tokens"
    # Waiting here with stderr redirected keeps the message of the shell about the killed job out of the output.
    { kill -9 "${pids[engine-$n]}" && wait "${pids[engine-$n]}"; } 2>/dev/null || true
    unset "pids[engine-$n]"
    break
  fi
done
wait "$reader"
"$bin/standin-verify" --prompt "$prompt" <"$work/answer"

echo "== book once"
for _ in 1 2; do
  http $net.11:7101 POST /v1/services/booking/plots/12 '{"plot": 12}' "authorization: Bearer $account_key" \
    "idempotency-key: plot-12"
  echo
done
runs=$(http $net.31:8101 GET /standin/stats | grep -o '"runs":[0-9]*')
echo "runs after two requests with the same key: $runs"
[ "$runs" = '"runs":1' ]
echo "== done"
