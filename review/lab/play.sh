#!/usr/bin/env bash
# play.sh CASE RECORD: plays a case of the lab and writes RECORD. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
name=$1
record=$(realpath -m "$2")
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/lab ] && [ -x target/tillerhall-node ] || exit 2
folder=$(mktemp -d)
end() {
  # The lab ends its nodes itself, unless it was ended. Their command lines name the folder.
  if [ -f "$folder/pids" ]; then
    while read -r pid; do
      grep -qs "$folder" "/proc/$pid/cmdline" && kill -9 "$pid"
    done < "$folder/pids"
  fi
  rm -rf "$folder"
}
trap end EXIT
trap 'exit 2' INT TERM
cat > "$folder/config.json" <<'JSON'
{"version": 7,
 "routes": [
  {"name": "r-sale", "host": "beurs.example", "pathPrefix": "/verkoop/", "kind": "unsafe",
   "timeout": 1500, "targetLatency": 500, "priority": 1, "service": "oogstbeurs", "maxAttempts": 2},
  {"name": "r-photo", "host": "schuur.example", "pathPrefix": "/foto/", "kind": "upload",
   "timeout": 1500, "targetLatency": 500, "priority": 1, "service": "schuur", "maxAttempts": 2},
  {"name": "r-view", "host": "veld.example", "pathPrefix": "/kijk/", "kind": "safe",
   "timeout": 1200, "targetLatency": 400, "priority": 2, "service": "perceel", "maxAttempts": 2}],
 "services": [
  {"name": "oogstbeurs", "healthCheckPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": false},
  {"name": "schuur", "healthCheckPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": false},
  {"name": "perceel", "healthCheckPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": false}],
 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": 3000, "idleTimeout": 15000}}
JSON
timeout -k 2 116 target/review/lab "$name" "$folder" "$record" "$folder/config.json" target/tillerhall-node
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
