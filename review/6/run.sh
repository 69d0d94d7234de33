#!/usr/bin/env bash
# A conductor's process is replaced while instances hang, where clients do not resume streams. Are the requests answered that
# come to it over 0.7 s after SIGTERM? 0: yes; 1: no; 2: could not run. TROUBLE=0: the same without instances that hang.
. "$(dirname "$0")/../stand_ins-2/case.sh" || exit 2
begin

read -r listen discovery d1 d2 ports < <("$stand_in" ports 16)
list='{"revision":41,"complete":true,"members":['
n=0
for port in $ports; do
  n=$((n + 1))
  # Every other instance hangs.
  if [ "$trouble" != 0 ] && [ $((n % 2)) = 0 ]; then start box "s-$n" "$port" both -1 0 0; else start box "s-$n" "$port" both 100 20 50; fi
  [ "$n" = 1 ] || list+=','
  list+='{"id":"s-'$n'","host_port":"127.0.0.1:'$port'","locality":"site","flavor":"mixed","cell":0,"phase":"active","size":1.0,'
  list+='"up_since_ms":0}'
done
list+=']}'
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
}

start_process "$d1"
old=$started
wait_boxes 12
wait_ready "$d1"
start platform-client booking "$listen" membership-changes 4 10 6000
clients=("$started")
# Some clients write slowly: their last bytes follow 1.7 s later.
start platform-client slow "$listen" membership-changes 8 10 6000 1700
clients+=("$started")
sleep 0.3
start_process "$d2"
wait_ready "$d2"
kill -TERM "$old"
terminated=$("$stand_in" now)
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
wait "${clients[@]}"

[ "$(grep -c 'client .* outcome: ' "$record")" -eq 12 ] || cannot "a client did not end"
if [ "$trouble" != 0 ]; then grep -qE 'box s-[0-9]*[02468] gets' "$record" || cannot "no instance that hangs got a request"; fi
grep 'client .* outcome: ' "$record" | grep -E 'without an answer|no answer' >"$folder/unanswered"
note "$(wc -l <"$folder/unanswered") requests were not answered"
# What SIGKILL finds of earlier requests is excused.
lost=$(awk -v t="$terminated" 'FNR == NR { if (/has sent all/ && $1 > t + 700) late[$3] = $1 - t; next }
  late[$3] { printf "%s came %.0f ms after SIGTERM: %s\n", $3, late[$3], substr($0, index($0, "outcome")) }' \
  "$record" "$folder/unanswered")
[ -z "$lost" ] && { note "held: all that came over 0.7 s after SIGTERM were answered"; exit 0; }
note "broken:"
echo "$lost" | tee -a "$record"
exit 1
