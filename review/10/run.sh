#!/usr/bin/env bash
# A new configuration says that boxes close idle connections after 2 s, not 30 s. Is it taken over?
# 0: yes, all requests are served; 1: no; 2: could not run. TROUBLE=0: the router starts with that configuration.
. "$(dirname "$0")/../stand_ins-2/case.sh"
begin

read -r l1 d1 b1 b2 < <("$stand_in" ports 4)
boxes="$(box_entry box-1 "$b1" both), $(box_entry box-2 "$b2" both)"
start box box-1 "$b1" both 30 5 10 2000
start box box-2 "$b2" both 30 5 10 2000
site_file "$l1" "$d1" "$boxes" "" >"$folder/old.json"
sed 's/"idleCloseMs": 30000/"idleCloseMs": 2000/' "$folder/old.json" >"$folder/new.json"
if [ "$trouble" = 0 ]; then cp "$folder/new.json" "$folder/c1.json"; else cp "$folder/old.json" "$folder/c1.json"; fi
start_router c1 "$folder/c1.json"
wait_ready "$d1"
if [ "$trouble" != 0 ]; then
  cp "$folder/new.json" "$folder/c1.tmp" && mv "$folder/c1.tmp" "$folder/c1.json"
  kill -HUP "$started"
  note "the router is told of the new configuration"
fi
sleep 2
note "$("$stand_in" door "$d1" config | head -n 1)"
start client desk "$l1" desk membership-changes 8 4000 10000
wait "$started"

[ "$(grep -c 'client .* outcome: ' "$record")" -eq 8 ] || cannot "a client did not end"
lost=$(grep 'client .* outcome: ' "$record" | grep -v 'outcome: served')
[ -z "$lost" ] && { note "held: all requests were served"; exit 0; }
note "broken: $(grep -c 'has forgotten' "$record") requests were written to connections that had been idle for over 2 s"
echo "$lost" | tee -a "$record"
exit 1
