#!/bin/sh
# A control process stands still as the order to finish an evacuation reaches it; the order is sent
# again to another one, and 3 s later the zone is evacuated anew. TROUBLE=0: none stands still.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/egretseam ] && [ -x target/review-2/world ] || exit 2
exec timeout -k 5 110 target/review-2/world evacuating review/7/record.txt
