#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file; see claim.txt and ../lab/play.sh.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../lab/play.sh" lost-leaving "$here/record.txt"
