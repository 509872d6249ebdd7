"""Measure the cost of one change of the lists; print one JSON line.

Bytes are counted in published values and gRPC messages with 11,000
organisations.  Spreading is simulated in rounds: a daemon that has the
new revision sends it to three of its contacts at once, and to all of
them in its next regular heartbeat.  Its contacts are a cell of nine
daemons and nine random others.
"""

import json
import random
import time
from typing import Any

from plantainsail.lists.snapshot import Family, PartValue, Snapshot
from plantainsail.lists.store import ListStore
from plantainsail.lists.transfer import Transfer, answer_request

ORGANISATIONS = 11_000
GROUPS = 16
PARTS_PER_GROUP = 32
PEERS = 9
FANOUT = 3
SEED = 7
CHANGES = 20


def make_organisation(number: int, source: random.Random) -> dict[str, Any]:
    """Return one entry of the list of organisations and plans."""
    return {
        "organisation": f"org-{number:05d}",
        "plan": f"plan-{number % 5}",
        "key_hashes": [f"{source.getrandbits(256):064x}"],
    }


def encode(value: object) -> bytes:
    """Return a value in the JSON form in which it is published."""
    return json.dumps(value, separators=(",", ":")).encode()


def make_parts(source: random.Random) -> dict[str, PartValue]:
    """Return all parts at revision 1."""
    part_count = GROUPS * PARTS_PER_GROUP
    organisations_by_part: list[list[dict[str, Any]]] = [
        [] for _ in range(part_count)
    ]
    for number in range(ORGANISATIONS):
        organisations_by_part[number % part_count].append(
            make_organisation(number, source)
        )
    grants = [{"plan": f"plan-{n}", "weight": n + 1} for n in range(5)]
    parts = {"grants": PartValue(1, encode({"revision": 1, "grants": grants}))}
    for number, entries in enumerate(organisations_by_part):
        name = f"plans/{number % GROUPS:02d}/{number // GROUPS:02d}"
        value = {"revision": 1, "organisations": entries}
        parts[name] = PartValue(1, encode(value))
    return parts


def change_part(
    parts: dict[str, PartValue], revision: int, source: random.Random
) -> str:
    """Change one part in place; return its name."""
    name = source.choice([n for n in parts if n.startswith("plans/")])
    value = json.loads(parts[name].body) | {"revision": revision}
    entry = value["organisations"][0]
    entry["key_hashes"] = [f"{source.getrandbits(256):064x}"]
    parts[name] = PartValue(revision, encode(value))
    return name


def service_bytes(parts: dict[str, PartValue], name: str) -> int:
    """Return the bytes that a watcher reads for one changed part."""
    group = name.rsplit("/", 1)[0]
    revision = parts[name].revision
    root = {
        "revision": revision,
        "parts": {"grants": 1},
        "indexes": {f"plans/{n:02d}": revision for n in range(GROUPS)},
    }
    part_revisions = {
        n: part.revision for n, part in parts.items() if n.startswith(group)
    }
    index = {"revision": revision, "parts": part_revisions}
    return len(encode(root)) + len(encode(index)) + len(parts[name].body)


def count_unaware_daemons(daemons: int, source: random.Random) -> list[int]:
    """Return how many daemons lack a change after each round."""
    contacts = [
        [(daemon // PEERS * PEERS + n) % daemons for n in range(PEERS)]
        + source.sample(range(daemons), min(PEERS, daemons))
        for daemon in range(daemons)
    ]
    informed = {0}
    already_sent: set[int] = set()
    unaware: list[int] = []
    while len(informed) < daemons:
        newly_informed = informed - already_sent
        if newly_informed:
            for daemon in newly_informed:
                informed |= set(source.sample(contacts[daemon], FANOUT))
            already_sent |= newly_informed
        else:
            for daemon in tuple(informed):
                informed |= set(contacts[daemon])
        unaware.append(daemons - len(informed))
    return unaware


def main() -> None:
    """Measure and print one JSON line."""
    source = random.Random(SEED)
    parts = make_parts(source)
    store = ListStore()
    started_s = time.perf_counter()
    store.offer(Family.LISTS, Snapshot(1, dict(parts)))
    first_build_s = time.perf_counter() - started_s
    changes_s: list[float] = []
    from_service: list[int] = []
    from_peer: list[int] = []
    for revision in range(2, CHANGES + 2):
        name = change_part(parts, revision, source)
        served = Snapshot(revision, dict(parts))
        from_service.append(service_bytes(parts, name))
        transfer = Transfer(Family.LISTS, store.snapshots[Family.LISTS])
        request = transfer.next_request()
        assert request is not None
        started_s = time.perf_counter()
        reply = answer_request(served, request, is_sure=True)
        transfer.add_reply(reply)
        assert transfer.snapshot is not None
        assert store.offer(Family.LISTS, transfer.snapshot).ok
        changes_s.append(time.perf_counter() - started_s)
        from_peer.append(
            sum(len(p.name) + len(p.body or b"") + 9 for p in reply.parts)
        )
    print(
        json.dumps(
            {
                "organisations": ORGANISATIONS,
                "parts": len(parts),
                "whole_bytes": sum(len(p.body) for p in parts.values()),
                "service_bytes_per_change": max(from_service),
                "peer_bytes_per_change": max(from_peer),
                "first_build_ms": round(first_build_s * 1_000, 1),
                "change_ms_median": round(
                    sorted(changes_s)[CHANGES // 2] * 1_000, 1
                ),
                "left_after_round_9": count_unaware_daemons(9, source),
                "left_after_round_540": count_unaware_daemons(540, source),
            }
        )
    )


if __name__ == "__main__":
    main()
