# Common to the scripts of cases 6 to 10: processes, ports and the operator's file of a small site.
# A script sources this file in its own folder and calls `begin` first.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
stand_in=$root/build/review-2/stand_in
router=$root/build/inference-router
trouble=${TROUBLE:-1}
max_seconds=100 # and no foreground command takes over 12 s more, so a case ends within 120 s

# Leaves the case with 2: it could not run.
cannot() {
  echo "cannot run: $*" | tee -a "$record"
  exit 2
}

finish() {
  local code=$?
  # The shell's own jobs alone: the id of one that has ended may belong to another process by now.
  for pid in $(jobs -p); do kill -KILL "$pid"; done 2>/dev/null
  wait 2>/dev/null
  rm -rf "$folder"
  exit "$code"
}

begin() {
  here=$(cd "$(dirname "$0")" && pwd)
  record=$here/record.txt
  : >"$record"
  folder=$(mktemp -d) || exit 2
  trap finish EXIT
  trap 'exit 2' INT TERM
  [ -x "$stand_in" ] && [ -x "$router" ] || cannot "build the program and run review/build-2.sh"
  cd "$root" || exit 2
  "$stand_in" limit "$max_seconds" $$ &
  note "case $(basename "$here"), TROUBLE=$trouble"
}

note() { echo "$("$stand_in" now) $*" | tee -a "$record"; }

# Starts a stand-in whose output goes into the record; its process id is in $started.
start() {
  "$stand_in" "$@" >>"$record" 2>&1 &
  started=$!
}

# Waits until so many boxes listen: a port may have been taken meanwhile.
wait_boxes() {
  for _ in $(seq 100); do
    [ "$(grep -c ' listens$' "$record")" -ge "$1" ] && return 0
    sleep 0.05
  done
  cannot "a box does not listen"
}

# Starts a router with the operator's file; its log is $folder/NAME.log.
start_router() {
  # Each router runs as the deploy file starts it, but with an operator's file.
  (exec "$router" serve --operator "$2" >>"$folder/$1.log" 2>&1) &
  started=$!
}

# Waits until a router answers `ok` at its door.
wait_ready() {
  for _ in $(seq 200); do
    [[ $("$stand_in" door "$1" readyz) == ok* ]] && return 0
    sleep 0.05
  done
  cannot "the router with the door $1 does not become ready"
}

# The operator's file of a small site: LISTEN DOOR BOXES, then further members. The settings are deploy/fleet.json's.
site_file() {
  cat <<JSON
{
  "listen": "127.0.0.1:$1", "admin_addr": "127.0.0.1:$2", "boxes": [$3], $4
  "keys": [
    {"key": "app", "tenant": "athens-club", "name": "app"},
    {"key": "desk", "tenant": "athens-club", "class": "membership-changes", "name": "desk"}
  ],
  "models": {"member-questions": "member-questions", "membership-changes": "membership-changes"},
  "default_max_tokens": 400,
  "settings": {
    "me": 0, "peersTotal": 1, "tickMs": 1, "discovery": "push", "zones": ["site"], "myZone": "site",
    "countedBy": "work", "overShareWorth": 0.05,
    "kinds": ["reader", "writer", "mixed"],
    "familyInfo": {
      "dutyByKind": ["read", "write", "both"], "memoryTokens": [200000, 150000, 150000],
      "ahead": true, "releaseMs": 300, "resume": false, "writersRead": true,
      "tokenAimMs": [70, 50], "aimUsPer1000PromptTokens": [40000, 60000], "moveFee": 0.02
    },
    "grades": [
      {"name": "member-questions", "effect": "idempotent", "stream": true, "worth": 1,
       "goalTimeMs": 1500, "hardLimitMs": 7500, "lateShare": 0.2},
      {"name": "membership-changes", "effect": "at_most_once", "stream": true, "worth": 2,
       "goalTimeMs": 1200, "hardLimitMs": 6000, "lateShare": 0.3}
    ],
    "orgs": [{"name": "athens-club", "share": 1, "allowancePerS": 20}],
    "contract": {
      "askWithinMs": 10000, "coldFrom": 0.3, "coldMs": 3000, "drainGraceMs": 1000, "fallMs": 1500,
      "graceToAnswerMs": 8, "overloadFactor": 2.5
    },
    "limits": {
      "cancel": true, "peers": false, "probing": false, "secondCopies": false, "retryAfter": true,
      "maxAttempts": 4, "maxRetryAfterMs": 2000, "dialTimeoutMs": 250, "idleCloseMs": 30000
    },
    "goal": {"whole": 0.5, "worstWindow": 0.2, "worstClass": 0.2, "worstTenant": 0.1},
    "report": {"how": "off"}
  }
}
JSON
}

# One entry of the list of boxes: ID PORT ROLE.
box_entry() { printf '{"id": "%s", "address": "127.0.0.1:%s", "role": "%s", "cell": 0, "size": 1.0}' "$@"; }
