"""Published lists of several daemons under loss and partitions.

The test guards against a daemon that puts a mix of two revisions in
force, returns to an older revision, or trusts its lists while a peer in
reach has newer ones.  It comes about when messages are lost, repeated,
delayed or reordered, when a publication falls between two reads of the
service, when the service is stale or down, or when daemons restart.
Each revision in force is compared with a reference: the whole lists as
they were published.
"""

import json
from collections.abc import Sequence
from typing import Any, NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from plantainsail.lists.model import HostList, PublishedLists
from plantainsail.lists.parse import assemble_lists, parse_part
from plantainsail.lists.service_read import ServiceRead, read_index
from plantainsail.lists.snapshot import Family
from plantainsail.lists.start_gate import (
    OwnListState,
    PeerAnswer,
    PeerReport,
    may_trust,
)
from plantainsail.lists.store import ListStore
from plantainsail.lists.transfer import (
    PartsReply,
    PartsRequest,
    Transfer,
    answer_request,
)

DAEMONS = 4
ANNOUNCED = 2
GROUPS = ("plans/0", "plans/1")
SMALL_REPLY_BYTES = 120
MANY_STEPS = 20
SIDES = ((0, 0, 0, 0), (0, 0, 0, 0), (0, 1, 1, 1), (0, 0, 1, 1))
RARELY = st.integers(0, 5).map(lambda n: n == 5)
NUMBERS = st.integers(0, DAEMONS - 1)


class Message(NamedTuple):
    """An undelivered request or reply between two incarnations."""

    sender: "SimulatedDaemon"
    receiver: "SimulatedDaemon"
    transfer: Transfer
    request: PartsRequest
    reply: PartsReply | None = None


class SimulatedDaemon:
    """One daemon incarnation.

    `witnesses` holds, for each revision that it put in force, the
    daemons that knew of the revision by then.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.store = ListStore()
        # Only the operators' lists are followed here.
        self.store.offer_hosts(HostList(1, {}))
        self.is_sure = False
        self.read: ServiceRead | None = None
        self.highest = 0
        self.witnesses: dict[int, list[SimulatedDaemon]] = {}


def part_value(revision: int, organisations: Sequence[str]) -> dict[str, Any]:
    return {
        "revision": revision,
        "organisations": [
            {"organisation": name, "plan": "p", "key_hashes": [name]}
            for name in organisations
        ],
    }


class Publisher:
    """Publishes values and keeps each valid revision as a reference.

    `history` holds the values after each publication, and `whole` the
    assembled lists of each valid revision.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.parts: dict[str, dict[str, Any]] = {}
        self.values: dict[str, bytes] = {}
        self.history: list[dict[str, bytes]] = [{}]
        self.whole: dict[int, PublishedLists] = {}

    def publish(self, changes: dict[str, dict[str, Any] | None]) -> None:
        self.revision += 1
        for name, part in changes.items():
            if part is None:
                self.parts.pop(name, None)
                continue
            self.parts[name] = part | {"revision": self.revision}
        self.values = dict(self.values)
        for name, part in self.parts.items():
            self.values[f"lists/{name}"] = json.dumps(part).encode()
        for group in GROUPS:
            self._write_index(f"{group}/", f"lists/{group}/index")
        self._write_root()
        self.history.append(self.values)
        self._keep_reference()

    def _part_revisions(self, prefix: str) -> dict[str, int]:
        return {
            name: part["revision"]
            for name, part in self.parts.items()
            if name.startswith(prefix)
        }

    def _group_revision(self, group: str) -> int:
        old = json.loads(
            self.values.get(f"lists/{group}/index", b'{"revision": 0}')
        )
        if old.get("parts") != self._part_revisions(f"{group}/"):
            return self.revision
        return int(old["revision"])

    def _write_index(self, prefix: str, key: str) -> None:
        value = {
            "revision": self._group_revision(prefix.rstrip("/")),
            "parts": self._part_revisions(prefix),
        }
        self.values[key] = json.dumps(value).encode()

    def _write_root(self) -> None:
        value = {
            "revision": self.revision,
            "parts": self._part_revisions("grants"),
            "indexes": {
                g: json.loads(self.values[f"lists/{g}/index"])["revision"]
                for g in GROUPS
            },
        }
        self.values["lists/index"] = json.dumps(value).encode()

    def _keep_reference(self) -> None:
        parsed = [parse_part(n, p) for n, p in sorted(self.parts.items())]
        if any(p.is_error() for p in parsed):
            return
        lists = assemble_lists(self.revision, [p.ok for p in parsed])
        if lists.is_ok():
            self.whole[self.revision] = lists.ok


class ListsMachine(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.publisher = Publisher()
        self.daemons = [SimulatedDaemon(n) for n in range(DAEMONS)]
        self.messages: list[Message] = []
        self.sides: tuple[int, ...] = SIDES[0]
        self.lag: int | None = 0

    @initialize()
    def publish_first(self) -> None:
        grant = {"plan": "p", "weight": 1, "models": ["m"]}
        self.publisher.publish(
            {
                "grants": {"grants": [grant]},
                "plans/0/a": part_value(1, ["a"]),
            }
        )
        for number in range(DAEMONS):
            self.read_whole(number)
            self.daemons[number].is_sure = True

    @rule(
        group=st.sampled_from(GROUPS),
        name=st.sampled_from("abc"),
        count=st.integers(0, 3),
        is_removed=RARELY,
        is_malformed=RARELY,
    )
    def publish(
        self,
        group: str,
        name: str,
        count: int,
        is_removed: bool,
        is_malformed: bool,
    ) -> None:
        key = f"{group}/{name}"
        if is_removed and not is_malformed:
            self.publisher.publish({key: None})
            return
        part = part_value(1, [f"{key}{n}" for n in range(count)])
        if is_malformed:
            part["organisations"].append({"organisation": 7})
            self.publisher.publish({key: part})
            part["organisations"].pop()
        self.publisher.publish({key: part})

    @rule(lag=st.sampled_from([0, 0, 0, 1, 3, None]))
    def change_service(self, lag: int | None) -> None:
        self.lag = lag

    @rule(sides=st.sampled_from(SIDES))
    def partition(self, sides: tuple[int, ...]) -> None:
        self.sides = sides

    def service_value(self, key: str) -> bytes | None:
        if self.lag is None:
            return None
        history = self.publisher.history
        return history[max(0, len(history) - 1 - self.lag)].get(key)

    def reaches(self, one: int, other: int) -> bool:
        return self.sides[one] == self.sides[other]

    def start_read(self, number: int) -> None:
        daemon = self.daemons[number]
        body = self.service_value("lists/index")
        if body is None:
            return
        root = read_index(Family.LISTS, body, "lists/index").ok
        daemon.read = ServiceRead(
            Family.LISTS, root, daemon.store.snapshots[Family.LISTS]
        )

    @rule(number=NUMBERS)
    def read_whole(self, number: int) -> None:
        self.start_read(number)
        self.step_read(number, MANY_STEPS)

    @rule(number=NUMBERS, steps=st.integers(1, 8), is_new=st.booleans())
    def read_some(self, number: int, steps: int, is_new: bool) -> None:
        if is_new:
            self.start_read(number)
        self.step_read(number, steps)

    def step_read(self, number: int, steps: int) -> None:
        daemon = self.daemons[number]
        for _ in range(steps):
            if daemon.read is None:
                return
            keys = daemon.read.next_keys()
            if not keys:
                self.finish_read(daemon, daemon.read)
                return
            body = self.service_value(keys[0])
            if (
                body is None
                or daemon.read.add_value(keys[0], body) is not None
            ):
                daemon.read = None

    def finish_read(self, daemon: SimulatedDaemon, read: ServiceRead) -> None:
        daemon.read = None
        prepared = daemon.store.prepare(Family.LISTS, read.snapshot())
        if prepared.is_error():
            daemon.store.record_refusal(prepared.error)
            return
        told = []
        for step in range(1, ANNOUNCED + 1):
            peer = self.daemons[(daemon.number + step) % DAEMONS]
            if self.reaches(daemon.number, peer.number):
                peer.store.record_seen_revision(
                    Family.LISTS, read.root.revision, 0.0
                )
                told.append(peer)
        daemon.store.commit(prepared.ok)
        daemon.witnesses[read.root.revision] = told

    def ask(self, asker: int, asked: int) -> None:
        daemon = self.daemons[asker]
        base = daemon.store.snapshots[Family.LISTS]
        transfer = Transfer(Family.LISTS, base)
        self.send_request(daemon, self.daemons[asked], transfer)

    def send_request(
        self,
        sender: SimulatedDaemon,
        receiver: SimulatedDaemon,
        transfer: Transfer,
    ) -> None:
        request = transfer.next_request()
        if request is not None and sender is not receiver:
            self.messages.append(Message(sender, receiver, transfer, request))

    @rule(asker=NUMBERS, asked=NUMBERS, rounds=st.integers(0, 16))
    def exchange(self, asker: int, asked: int, rounds: int) -> None:
        self.ask(asker, asked)
        for _ in range(rounds):
            self.deliver(len(self.messages) - 1, is_kept=False)

    @rule(choice=st.integers(0, 99), is_kept=RARELY, is_lost=RARELY)
    def deliver(
        self, choice: int, is_kept: bool, is_lost: bool = False
    ) -> None:
        if not self.messages:
            return
        index = choice % len(self.messages)
        message = self.messages[index]
        if not is_kept:
            del self.messages[index]
        if is_lost:
            return
        if message.receiver is not self.daemons[message.receiver.number]:
            return
        if not self.reaches(message.sender.number, message.receiver.number):
            return
        if message.reply is None:
            self.answer(message)
        else:
            self.take_reply(message, message.reply)

    def answer(self, message: Message) -> None:
        reply = answer_request(
            message.receiver.store.snapshots[Family.LISTS],
            message.request,
            is_sure=message.receiver.is_sure,
            limit_bytes=SMALL_REPLY_BYTES,
        )
        self.messages.append(
            message._replace(
                sender=message.receiver, receiver=message.sender, reply=reply
            )
        )

    def take_reply(self, message: Message, reply: PartsReply) -> None:
        daemon, transfer = message.receiver, message.transfer
        transfer.add_reply(reply)
        daemon.store.record_seen_revision(Family.LISTS, reply.revision, 0.0)
        if transfer.snapshot is None:
            self.send_request(daemon, message.sender, transfer)
            return
        revision = transfer.snapshot.revision
        offered = daemon.store.offer(Family.LISTS, transfer.snapshot)
        assert offered.is_ok()
        if offered.ok:
            daemon.witnesses[revision] = [message.sender]

    @rule(number=NUMBERS, reads=st.booleans())
    def restart(self, number: int, reads: bool) -> None:
        earlier = self.daemons[number]
        daemon = SimulatedDaemon(number)
        daemon.witnesses = earlier.witnesses
        self.daemons[number] = daemon
        if reads:
            self.read_whole(number)
            self.gain_trust(number)

    @rule(number=NUMBERS)
    def gain_trust(self, number: int) -> None:
        daemon = self.daemons[number]
        reports = [
            self.report(daemon, peer)
            for peer in self.daemons
            if peer is not daemon
        ]
        own = OwnListState(daemon.store.lists.revision, 1, True, 0.0)
        if not may_trust(own, reports):
            return
        daemon.is_sure = True
        for peer in self.daemons:
            if peer.is_sure and self.reaches(number, peer.number):
                own_revision = daemon.store.lists.revision
                assert own_revision >= peer.store.lists.revision
        for revision, witnesses in daemon.witnesses.items():
            for witness in witnesses:
                is_alive = witness is self.daemons[witness.number]
                if is_alive and self.reaches(number, witness.number):
                    assert daemon.store.lists.revision >= revision

    def report(
        self, daemon: SimulatedDaemon, peer: SimulatedDaemon
    ) -> PeerReport:
        if not self.reaches(daemon.number, peer.number):
            return PeerReport(PeerAnswer.SILENT)
        answer = PeerAnswer.SURE if peer.is_sure else PeerAnswer.STARTING
        seen = max(
            peer.store.highest_seen[Family.LISTS], peer.store.lists.revision
        )
        return PeerReport(answer, seen, 1)

    @invariant()
    def revisions_never_fall(self) -> None:
        for daemon in self.daemons:
            assert daemon.store.lists.revision >= daemon.highest
            daemon.highest = daemon.store.lists.revision

    @invariant()
    def lists_equal_the_broadcast_ones(self) -> None:
        for daemon in self.daemons:
            lists = daemon.store.lists
            if lists.revision == 0:
                continue
            assert lists == self.publisher.whole[lists.revision]


ListsMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=60
)
test_lists_machine = ListsMachine.TestCase
