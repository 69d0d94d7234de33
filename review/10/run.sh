#!/usr/bin/env bash
# One of two boxes has died. Does a maintenance plan then take out the other, the last of its role that serves?
# 0: no; 1: it does, and clients are not served; 2: could not run. TROUBLE=0: the same with both boxes alive.
. "$(dirname "$0")/../stand_ins-2/case.sh"
begin

read -r l1 d1 l2 d2 b1 b2 < <("$stand_in" ports 6)
boxes="$(box_entry box-1 "$b1" both), $(box_entry box-2 "$b2" both)"
start box box-1 "$b1" both 50 5 40
start box box-2 "$b2" both 50 5 40
second_box=$started
for n in 1 2; do
  listen=l$n door=d$n
  site_file "${!listen}" "${!door}" "$boxes" '"coordination": {"name": "c'$n'",
    "store": {"kind": "sqlite", "path": "'"$folder"'/shared.db"}, "lease_s": 5}, "shared": {},' >"$folder/c$n.json"
  start_router "c$n" "$folder/c$n.json"
done
wait_ready "$d1"
wait_ready "$d2"

clients=()
for n in 1 2; do
  listen=l$n
  start client "desk-$n" "${!listen}" desk membership-changes 160 200 8000
  clients+=("$started")
done
sleep 3
if [ "$trouble" != 0 ]; then
  note "box-2 dies"
  kill -KILL "$second_box"
fi
sleep 12
for n in 1 2; do
  door=d$n
  note "c$n: $("$stand_in" door "${!door}" boxes | grep '^box box-2 ')"
  note "c$n: $("$stand_in" door "${!door}" shared | grep '^box box-2 ')"
done
note "maintenance start: $("$stand_in" door "$d1" 'maintenance start june box-1 hold=8')"
start plan "$d1" 16
wait "${clients[@]}"
grep -q 'plan box-1 is waiting' "$record" || cannot "the plan did not start"

note "served $(grep -c 'outcome: served' "$record") of $(grep -c 'client .* sends' "$record")"
[ "$trouble" != 0 ] || grep -q 'plan box-1 is out' "$record" || cannot "box-1 was not taken out beside a box that serves"
# Requests that were sent while box-1 was draining or out, and not served.
late=$(awk '$2 == "plan" { out = ($5 == "draining" || $5 == "out"); if (out) since = $1 }
  $2 == "client" && $4 == "sends" && out { sent[$3] = 1 }
  $2 == "client" && $5 == "outcome:" && $6 != "served" && sent[$3] { print $3 " was answered " $6 " " $7 }' \
  <(sort -n "$record"))
[ -z "$late" ] && { note "held: every request was served while box-1 was taken out, or it was not taken out"; exit 0; }
note "broken: box-1 was taken out although no other box served; $(wc -l <<<"$late") requests were not served:"
echo "$late" | sed 's/.*was/was/' | sort | uniq -c | tee -a "$record"
exit 1
