#!/usr/bin/env bash
# A conductor's process is replaced while an instance hangs, where clients do not resume streams. Are its requests answered?
# 0: yes; 1: no; 2: could not run. TROUBLE=0: the same without an instance that hangs.
. "$(dirname "$0")/../stand_ins-2/case.sh"
begin

read -r listen discovery d1 d2 s1 s2 < <("$stand_in" ports 6)
start box s-1 "$s1" both 100 20 50
if [ "$trouble" = 0 ]; then start box s-2 "$s2" both 100 20 50; else start box s-2 "$s2" both -1 0 0; fi
member() { echo '{"id":"'"$1"'","host_port":"127.0.0.1:'"$2"'","locality":"site","flavor":"mixed","cell":0,"phase":"active",
  "size":1.0,"up_since_ms":0}'; }
list='{"revision":41,"complete":true,"members":['$(member s-1 "$s1" | tr -d '\n')','$(member s-2 "$s2" | tr -d '\n')']}'
start agent "$discovery" "$list"
site_file 0 0 "$(box_entry none 1 both)" "" >"$folder/site.json"
settings=$(sed -n '/"settings": {/,$p' "$folder/site.json")
mkdir "$folder/shared"
cat >"$folder/config.json" <<JSON
{"name": "n1", "listen": "127.0.0.1:$listen", "discovery": "127.0.0.1:$discovery", "seed": "8c1f30d27a5be964",
 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": $list,
$settings
JSON
start_process() { # with its own second address
  (GW_NAME=n1 GW_LISTEN=127.0.0.1:$listen GW_DISCOVERY=127.0.0.1:$discovery GW_CONFIG=$folder/config.json \
    GW_ADMIN_ADDR=127.0.0.1:$1 TMPDIR=$folder/shared exec "$router" serve >>"$folder/$1.log" 2>&1) &
  started=$!
  pids+=("$started")
}

start_process "$d1"
old=$started
wait_ready "$d1"
start platform-client booking "$listen" membership-changes 8 10 6000
client=$started
sleep 0.3
start_process "$d2"
wait_ready "$d2"
kill -TERM "$old"
note "the new process is ready; the old one gets SIGTERM"
for _ in $(seq 75); do
  kill -0 "$old" 2>/dev/null || break
  sleep 0.05
done
if kill -0 "$old" 2>/dev/null; then
  note "SIGKILL, over 3.7 s after SIGTERM"
  kill -KILL "$old"
else
  wait "$old"
  note "the old process has ended with $?"
fi
wait "$client"

[ "$(grep -c 'client .* outcome: ' "$record")" -eq 8 ] || cannot "a client did not end"
if [ "$trouble" != 0 ]; then grep -q 'box s-2 gets' "$record" || cannot "the instance that hangs got no request"; fi
unanswered=$(grep 'client .* outcome: ' "$record" | grep -E 'without an answer|no answer')
[ -z "$unanswered" ] && { note "held: all requests were answered"; exit 0; }
note "broken:"
echo "$unanswered" | tee -a "$record"
exit 1
