#!/usr/bin/env bash
# A planned restart (SIGTERM) of one of two conductors that share a bill. Is all that it served billed?
# 0: yes; 1: no; 2: could not run. TROUBLE=0: the same requests without SIGTERM.
. "$(dirname "$0")/../stand_ins-2/case.sh" || exit 2
begin

read -r l1 d1 l2 d2 b1 b2 < <("$stand_in" ports 6)
boxes="$(box_entry box-1 "$b1" both), $(box_entry box-2 "$b2" both)"
# An answer takes 2 s.
start box box-1 "$b1" both 30 40 50
start box box-2 "$b2" both 30 40 50
for n in 1 2; do
  listen=l$n door=d$n
  site_file "${!listen}" "${!door}" "$boxes" '"coordination": {"name": "c'$n'",
    "store": {"kind": "sqlite", "path": "'"$folder"'/shared.db"}, "lease_s": 5},
    "shared": {"budgets": {"athens-club": 2000000}},' >"$folder/c$n.json"
  start_router "c$n" "$folder/c$n.json"
done
second=$started
wait_boxes 2
wait_ready "$d1"
wait_ready "$d2"
# The first requests may wait for a loan; what is served of them counts as well.
start client first "$l2" app member-questions 40 250 10000
sleep 9.9

# SIGTERM comes after the last request was sent, so all of them are finished, and the process ends by itself.
start client app "$l2" app member-questions 10 250 10000
client=$started
sleep 2.5
if [ "$trouble" != 0 ]; then
  kill -TERM "$second"
  note "c2 is told to end"
fi
wait "$client"
if [ "$trouble" != 0 ]; then
  wait "$second"
  code=$?
  note "c2 has ended with $code"
  [ "$code" = 0 ] || cannot "c2 ended with $code"
fi
# A conductor speaks every second or so; after gone_s, 30 s, its part of the bill is taken out of the store.
for _ in 1 2 3 4; do
  sleep 10
  note "c1: $("$stand_in" door "$d1" shared | grep '^bill .*member-questions')"
done
served=$(grep -c 'outcome: served' "$record")
billed=$(grep 'c1: bill' "$record" | tail -n 1 | sed 's/.* served=\([0-9]*\).*/\1/')
note "clients were served $served times, the bill says ${billed:-0}"
[ "$(grep 'client app' "$record" | grep -c 'outcome: served')" -ge 5 ] || cannot "c2 did not serve"
[ "${billed:-0}" -ge "$served" ] && { note "held: all that was served is billed"; exit 0; }
note "broken: $((served - ${billed:-0})) served requests are in no bill"
exit 1
