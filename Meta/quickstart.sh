#!/usr/bin/env bash
# Installs missing packages, builds, and runs a small deployment on loopback: a stand-in for the network fabric,
# which distributes the packets of callers over six instances in three failure domains, targets that announce
# themselves, one long-lived flow and one non-idempotent request. On exit it terminates the processes that it started
# and removes their files. --no-build skips installing and building.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ "${1:-}" != "--no-build" ]; then
    Meta/install-packages.sh
    Meta/build.sh build
fi

work=$(mktemp -d /tmp/almondwing-quickstart.XXXXXX)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap cleanup EXIT

ctl=build/Utilities/almondwingctl/almondwingctl
standIns=build/Tests/StandIns
export ALMONDWING_TOKEN=quickstart-token-for-loopback
hash=$(echo "$ALMONDWING_TOKEN" | $ctl hash-token)
eval "$(Meta/deployment.py "$work" docs/examples/tz-dar.json "$hash")"

echo "== starting six instances in three failure domains"
for name in $INSTANCES; do
    build/Services/almondwingd/almondwingd --check-settings --settings "$work/$name.toml" >/dev/null
    build/Services/almondwingd/almondwingd --settings "$work/$name.toml" 2>"$work/$name.err" &
    pids+=($!)
done

echo "== starting the fabric stand-in and four targets"
fabricArguments=(--service "$SERVICE_DUKA_DESK" --control "$FABRIC_CONTROL")
for entry in $ENTRIES; do fabricArguments+=(--instance "$entry"); done
$standIns/fabric-stand-in "${fabricArguments[@]}" >"$work/fabric.out" &
pids+=($!)

servers=()
for http in $HTTP; do servers+=(--server "$http"); done

echo "== applying the manifest"
$ctl "${servers[@]}" apply "$work/manifest.json" --wait 20

startTarget() {
    local name=$1 domain=$2
    shift 2
    local arguments=()
    for http in "$@"; do arguments+=(--announce "$http"); done
    $standIns/target-stand-in --cluster tz-dar --name "$name" --service duka-desk --failure-domain "$domain" \
        --ledger "$work/ledger-$name" "${arguments[@]}" >"$work/$name.out" &
    pids+=($!)
}
startTarget desk-1 dar-a $HTTP_DAR_A
startTarget desk-2 dar-b $HTTP_DAR_B
startTarget desk-3 dar-c $HTTP_DAR_C
startTarget desk-4 dar-a $HTTP_DAR_A

echo "== waiting until the targets are known"
for _ in $(seq 100); do
    known=$($ctl "${servers[@]}" --output json status | grep -o '"name":"desk-' | wc -l || true)
    [ "$known" -ge 4 ] && break
    sleep 0.2
done

echo "== one long-lived flow and one non-idempotent request through the fabric"
caller=($standIns/caller-stand-in --cluster tz-dar --service-name duka-desk --service "$SERVICE_DUKA_DESK" --seed 1)
"${caller[@]}" --flows 1 --interval-ms 200 --flows-for-ms 2000
"${caller[@]}" --requests 1 --non-idempotent --size 5000 --class urgent

echo "== status"
$ctl "${servers[@]}" status
echo "== explain"
$ctl "${servers[@]}" explain --service duka-desk --flow 1
echo "== audit"
$ctl "${servers[@]}" audit
echo "== the execution ledgers of the targets; the request must have run exactly once"
cat "$work"/ledger-*
echo "quickstart: done"
