# Functions for scripts that run instances and stand-ins on loopback; to be
# sourced. `stop_all` terminates the started processes by their process ids.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=${BIN:-$root/build}
work=${WORK:-$(mktemp -d)}
pids=()

install_packages() {
  local need=(libevent-dev libevhtp-dev libnng-dev libboost-log1.81-dev
    libboost-program-options1.81-dev libboost-json1.81-dev doctest-dev
    librapidcheck-dev libxxhash-dev libhttp-parser-dev ninja-build cmake g++ pkg-config
    clang-format clang-tidy)
  local missing=()
  for it in "${need[@]}"; do
    dpkg -s "$it" >/dev/null 2>&1 || missing+=("$it")
  done
  [ ${#missing[@]} -eq 0 ] && return 0
  apt-get update -q >/dev/null &&
    DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${missing[@]}" \
      >"$work/apt.log" 2>&1 || { cat "$work/apt.log"; return 1; }
}

build() {
  cmake -S "$root" -B "$bin" -G Ninja >"$work/cmake.log" 2>&1 &&
    ninja -C "$bin" "$@" >"$work/ninja.log" 2>&1 ||
    { tail -50 "$work/cmake.log" "$work/ninja.log"; return 1; }
}

start() { # log name, command...
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
}

start_platform() { # port
  platform=127.0.0.1:$1
  start platform "$bin/knapweedstream-standin" platform --port "$1" \
    --lag-ms 200
}

# Prints the template of one service; replicas are assigned to zones in turn.
service_template() { # service, shards, replicas, port, slots, conns, zones...
  local service=$1 shards=$2 replicas=$3 port=$4 slots=$5 conns=$6
  shift 6
  local zones=("$@") i r
  printf '[service %s]\nshards = %s\nslots = %s\nconnections = %s\n' \
    "$service" "$shards" "$slots" "$conns"
  printf 'deadline_ms = %s\nwarmup_ms = %s\n\n' "${DEADLINE_MS:-500}" \
    "${WARMUP_MS:-300}"
  for ((i = 0; i < shards; i++)); do
    for ((r = 0; r < replicas; r++)); do
      printf '[target %s %s-%s-%s]\naddress = 127.0.0.1:%s\n' "$service" \
        "$service" "$i" "$r" $((port + i * replicas + r))
      printf 'zone = %s\nshard = %s\n\n' "${zones[r % ${#zones[@]}]}" "$i"
    done
  done
}

write_settings() { # name, zone, caller port, peer port
  cat >"$work/$1.ini" <<END
[instance]
name = $1
zone = $2
caller_address = 127.0.0.1:$3
peer_address = 127.0.0.1:$4
platform_address = $platform
log_level = ${LOG_LEVEL:-info}
${INSTANCE_EXTRA:-}
[policy]
${POLICY:-}
[limits]
${LIMITS:-}
END
}

start_instance() { # name, zone, caller port, peer port
  write_settings "$@"
  start "$1" "$bin/knapweedstream" run "$work/$1.ini"
}

wait_ready() { # addresses...
  local it n
  for it in "$@"; do
    for ((n = 0; n < 100; n++)); do
      "$bin/knapweedstream" status --to "$it" 2>/dev/null |
        grep -q '"ready":true' && break
      sleep 0.1
    done
    [ $n -lt 100 ] || { echo "not ready: $it"; return 1; }
  done
}

stop_all() {
  local it
  for it in "${pids[@]}"; do kill -TERM "$it" 2>/dev/null; done
  for it in "${pids[@]}"; do wait "$it" 2>/dev/null; done
  pids=()
}
