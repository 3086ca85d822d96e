#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. They are Python
# without dependencies, so that there is nothing to compile; this checks that they load.
set -e
cd "$(dirname "$0")"
python3 -B -c "import stand_ins_2"
