#!/usr/bin/env bash
# Plays the case; writes record.txt beside this file. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
folder=$(mktemp -d)
end() {
  [ -f "$folder/pids" ] && xargs -r kill -9 < "$folder/pids" 2>/dev/null
  rm -rf "$folder"
}
trap end EXIT
cat > "$folder/config.json" <<'JSON'
{"version": 7,
 "routes": [
  {"name": "r-photo", "host": "schuur.example", "pathPrefix": "/foto/", "kind": "upload",
   "timeout": 1500, "targetLatency": 500, "priority": 1, "service": "schuur", "maxAttempts": 2},
  {"name": "r-view", "host": "veld.example", "pathPrefix": "/kijk/", "kind": "safe",
   "timeout": 1200, "targetLatency": 400, "priority": 2, "service": "perceel", "maxAttempts": 2}],
 "services": [
  {"name": "schuur", "healthCheckPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": false},
  {"name": "perceel", "healthCheckPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": false}],
 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": 3000, "idleTimeout": 15000}}
JSON
cd "$root" || exit 2
[ -x target/review/lab ] && [ -x target/tillerhall-node ] || exit 2
timeout -k 2 118 target/review/lab large-bodies "$folder" "$here/record.txt" "$folder/config.json" target/tillerhall-node
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
