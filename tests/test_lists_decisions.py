"""Single decisions about the published lists.

They guard against a snapshot that mixes revisions, a malformed revision
in force, acting on lists that are too old, and a fleet that exceeds the
call rate of the configuration service.
"""

import json
import random
from typing import Any

import pytest

from plantainsail.lists.freshness import (
    FreshnessLimits,
    FreshnessVerdict,
    FreshnessView,
    judge_freshness,
)
from plantainsail.lists.model import HostEntry, HostList, Role
from plantainsail.lists.pacing import CallPacer
from plantainsail.lists.parse import parse_index
from plantainsail.lists.service_read import (
    RefusalReason,
    ServiceRead,
    read_index,
)
from plantainsail.lists.snapshot import Family, PartValue, Snapshot
from plantainsail.lists.start_gate import (
    COLD_START_WAIT_S,
    OwnListState,
    PeerAnswer,
    PeerReport,
    may_trust,
)
from plantainsail.lists.store import ListStore
from plantainsail.lists.transfer import Transfer, answer_request
from plantainsail.lists.watchers import neighbours, zone_watchers
from tests.standins.platform import plan_part

DAEMONS = 540
ZONES = 21
TENTH_OF_SERVICE_RATE = 200
LIMITS = FreshnessLimits(cut_off_s=7.0, stale_s=100.0)


def make_snapshot(revision: int, **revisions: int) -> Snapshot:
    return Snapshot(
        revision,
        {
            name: PartValue(part, json.dumps({"revision": part}).encode())
            for name, part in revisions.items()
        },
    )


def run_transfer(base: Snapshot, *served: Snapshot) -> Snapshot | None:
    """Return the result of a transfer from a peer that changes.

    Each request gets the next snapshot of `served`; the last one serves
    all further requests.
    """
    transfer = Transfer(Family.LISTS, base)
    remaining = list(served)
    while (request := transfer.next_request()) is not None:
        snapshot = remaining.pop(0) if len(remaining) > 1 else remaining[0]
        transfer.add_reply(
            answer_request(snapshot, request, is_sure=True, limit_bytes=1)
        )
    return transfer.snapshot


def test_transfer_drops_a_removed_part() -> None:
    newer = make_snapshot(4, a=1, c=4)
    assert run_transfer(make_snapshot(3, a=1, b=2), newer) == newer


def test_transfer_replaces_an_index_of_another_history() -> None:
    newer = make_snapshot(4, a=2, b=4)
    assert run_transfer(make_snapshot(3, a=1, b=3), newer) == newer


def test_transfer_restarts_when_the_peer_changes_its_revision() -> None:
    between = make_snapshot(4, a=4, b=4, c=4)
    newest = make_snapshot(5, a=5, b=4)
    base = make_snapshot(3, a=1, b=1)
    assert run_transfer(base, between, between, newest) == newest


def index_of(**value: Any) -> bytes:
    return json.dumps(value).encode()


@pytest.mark.parametrize("index_revision", [3, 5])
def test_group_index_of_another_revision_is_refused_as_torn(
    index_revision: int,
) -> None:
    root = parse_index({"revision": 5, "indexes": {"g": 4}}).ok
    read = ServiceRead(Family.LISTS, root)
    assert read.next_keys() == ("lists/g/index",)
    body = index_of(revision=index_revision, parts={"g/0": index_revision})
    refusal = read.add_value("lists/g/index", body)
    assert refusal is not None
    assert refusal.reason is RefusalReason.TORN
    assert read.next_keys() == ("lists/g/index",)


@pytest.mark.parametrize("part_revision", [3, 5])
def test_part_of_another_revision_is_refused_as_torn(
    part_revision: int,
) -> None:
    root = parse_index({"revision": 5, "parts": {"p": 4}}).ok
    read = ServiceRead(Family.LISTS, root)
    refusal = read.add_value("lists/p", index_of(revision=part_revision))
    assert refusal is not None
    assert refusal.reason is RefusalReason.TORN
    assert read.snapshot().parts == {}


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff",
        b"[" * 100_000,
        b"[]",
        index_of(revision=0),
        index_of(revision="7"),
        index_of(revision=7, parts={"a": 8}),
        index_of(revision=7, indexes={"a": 0}),
    ],
)
def test_malformed_index_is_refused(body: bytes) -> None:
    refusal = read_index(Family.LISTS, body, "lists/index").error
    assert refusal.reason is RefusalReason.MALFORMED_INDEX


def corrupt_part(fault: str, part: dict[str, Any]) -> None:
    if fault == "unknown plan":
        part["organisations"][0]["plan"] = "none"
    if fault == "key held twice":
        part["organisations"][1] = part["organisations"][0] | {
            "organisation": "other"
        }
    if fault == "repeated plan":
        part["grants"].append(part["grants"][0])
    if fault == "no weight":
        part["grants"][0]["weight"] = 0
    if fault == "wrong type":
        part["services"] = 7


@pytest.mark.parametrize(
    "fault",
    ["unknown plan", "key held twice", "repeated plan", "no weight"]
    + ["wrong type"],
)
def test_last_valid_revision_stays_in_force_after_a_malformed_one(
    fault: str,
) -> None:
    store = ListStore()
    good = json.dumps({"revision": 1} | plan_part()).encode()
    store.offer(Family.LISTS, Snapshot(1, {"p": PartValue(1, good)}))
    part = {"revision": 2} | plan_part()
    corrupt_part(fault, part)
    bad = json.dumps(part).encode()
    snapshot = Snapshot(2, {"p": PartValue(2, bad)})
    refusal = store.offer(Family.LISTS, snapshot).error
    assert store.record_refusal(refusal)
    assert not store.record_refusal(refusal)
    assert store.lists.revision == 1
    assert set(store.lists.organisations) == {"desk", "store"}
    valid = json.dumps({"revision": 3} | plan_part()).encode()
    store.offer(Family.LISTS, Snapshot(3, {"p": PartValue(3, valid)}))
    assert store.lists.revision == 3
    assert store.refusals == {}


def test_one_sure_peer_suffices_unless_any_peer_knows_more() -> None:
    own = OwnListState(5, 5, service_answered=False, waited_s=0.0)
    sure = PeerReport(PeerAnswer.SURE, 5, 5)
    silent = PeerReport(PeerAnswer.SILENT)
    assert may_trust(own, [sure, silent])
    assert not may_trust(own, [sure, PeerReport(PeerAnswer.STARTING, 6, 5)])
    assert not may_trust(own, [sure, PeerReport(PeerAnswer.SURE, 5, 6)])


def test_service_alone_is_not_enough_while_peers_are_silent() -> None:
    own = OwnListState(5, 5, service_answered=True, waited_s=0.0)
    refused = PeerReport(PeerAnswer.REFUSED)
    silent = PeerReport(PeerAnswer.SILENT)
    assert may_trust(own, [])
    assert may_trust(own, [refused])
    assert not may_trust(own, [refused, silent])
    waited = own._replace(waited_s=COLD_START_WAIT_S)
    assert may_trust(waited, [refused, refused, silent])
    assert not may_trust(waited, [refused, silent])
    assert not may_trust(own._replace(service_answered=False), [refused])


@pytest.mark.parametrize(
    ("view", "verdict"),
    [
        (FreshnessView(6.0, 0.0, False), FreshnessVerdict.FRESH),
        (FreshnessView(90.0, 0.0, True), FreshnessVerdict.UNCONFIRMED),
        (FreshnessView(8.0, 0.0, False), FreshnessVerdict.CUT_OFF),
        (FreshnessView(101.0, 0.0, True), FreshnessVerdict.STALE),
        (FreshnessView(0.0, 1.5, True), FreshnessVerdict.BEHIND),
        (FreshnessView(0.0, 0.5, True), FreshnessVerdict.FRESH),
    ],
)
def test_freshness_verdict(
    view: FreshnessView, verdict: FreshnessVerdict
) -> None:
    assert judge_freshness(view, LIMITS) is verdict


def make_hosts(daemons: int) -> HostList:
    return HostList(
        1,
        {
            f"entry-{n}": HostEntry(
                f"entry-{n}", Role.ENTRY, f"10.0.0.1:{n}", f"zone-{n % ZONES}"
            )
            for n in range(daemons)
        },
    )


def test_losing_a_watcher_replaces_only_that_watcher() -> None:
    hosts = make_hosts(DAEMONS)
    first = zone_watchers(hosts, "zone-3")
    second = zone_watchers(hosts, "zone-3", unavailable={first[0]})
    assert len(first) == len(second) == 2
    assert second[0] == first[1]
    ranked = neighbours(hosts, first[0])
    assert ranked == neighbours(hosts, first[0])
    assert first[0] not in {entry.host for entry in ranked}


def max_calls_in_a_second(times_s: list[float]) -> int:
    """Return the highest number of calls within any one second."""
    times_s.sort()
    highest = 0
    start = 0
    for end, time_s in enumerate(times_s):
        while times_s[start] <= time_s - 1.0:
            start += 1
        highest = max(highest, end - start + 1)
    return highest


@pytest.mark.parametrize("seed", range(5))
def test_restart_of_all_daemons_stays_below_a_tenth_of_the_rate(
    seed: int,
) -> None:
    times_s: list[float] = []
    for number in range(DAEMONS):
        pacer = CallPacer(random.Random(f"{seed}/{number}"), DAEMONS)
        now_s = pacer.first_delay_s()
        for call in range(40):
            times_s.append(now_s)
            if call == 3 and number < 2 * ZONES:
                pacer.use_watcher_share(2 * ZONES)
            now_s += pacer.next_delay_s()
    assert max_calls_in_a_second(times_s) < TENTH_OF_SERVICE_RATE


@pytest.mark.parametrize("seed", range(5))
def test_recovery_of_the_service_stays_below_a_tenth_of_the_rate(
    seed: int,
) -> None:
    returns_at_s = 120.0
    times_s: list[float] = []
    for number in range(DAEMONS):
        pacer = CallPacer(random.Random(f"{seed}/{number}"), DAEMONS)
        pacer.use_non_watcher_share(DAEMONS)
        now_s = pacer.first_delay_s()
        while now_s < 2 * returns_at_s:
            times_s.append(now_s)
            if now_s < returns_at_s:
                pacer.record_failure()
            else:
                pacer.record_success()
            now_s += pacer.next_delay_s()
    assert max_calls_in_a_second(times_s) < TENTH_OF_SERVICE_RATE
