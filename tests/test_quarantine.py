"""Requests under which engines die, against a complete record."""

import json
import random

from hypothesis import given
from hypothesis import strategies as st

from plantainsail.identity import Incarnation
from plantainsail.peers.suspect_section import REPEAT_AGE_S, SuspectSection
from plantainsail.peers.wire.fleet_pb2 import HeartbeatMessage
from plantainsail.policy.quarantine import (
    COMMON_CAUSE_ENGINES,
    MAX_SUSPECTS,
    QUARANTINE_LIFETIME_S,
    SUSPECT_LIFETIME_S,
    Quarantine,
    Suspect,
    fingerprint_of,
)
from plantainsail.policy.work import Work
from tests.standins.platform import (
    MODEL,
    Platform,
    call,
    earn_retries,
    start_daemon,
)

POISON = 7
PEER = Incarnation("127.0.0.1:1", 1)
WORK = Work("req-1", "desk", "large", "m", 1, 1, 1, 0.0, 9.0)


def spread(source: Quarantine, target: Quarantine, now_s: float) -> None:
    message = HeartbeatMessage()
    SuspectSection(source).fill(message, PEER, now_s)
    SuspectSection(target).absorb(message, PEER, now_s)


def test_second_death_quarantines() -> None:
    quarantine = Quarantine()
    quarantine.note_death(POISON, "engine-1/a", 0.0, 1.0)
    suspect = quarantine.find(POISON, 1.0)
    assert suspect is not None
    assert not suspect.is_quarantined
    quarantine.note_death(POISON, "engine-2/a", 2.0, 3.0)
    suspect = quarantine.find(POISON, 3.0)
    assert suspect is not None
    assert suspect.is_quarantined
    assert quarantine.find(POISON, 4.0 + QUARANTINE_LIFETIME_S) is None


def test_one_death_seen_twice_counts_once() -> None:
    quarantine = Quarantine()
    quarantine.note_death(POISON, "engine-1/a", 0.0, 1.0)
    quarantine.note_death(POISON, "engine-1/a", 0.5, 1.1)
    assert quarantine.suspects[POISON].deaths == ("engine-1/a",)
    # Started after the first death: the engine has run again since.
    quarantine.note_death(POISON, "engine-1/a", 5.0, 6.0)
    assert quarantine.suspects[POISON].is_quarantined


def test_suspects_keep_apart_from_each_other() -> None:
    quarantine = Quarantine()
    for fingerprint in (POISON, 8):
        quarantine.note_death(fingerprint, "engine-1/a", 0.0, 1.0)
    quarantine.note_started("engine-2", "req-8", 8)
    quarantine.note_started("engine-3", "req-9", 9)
    assert quarantine.engines_to_avoid(POISON, 2.0) == ["engine-2"]
    assert quarantine.engines_to_avoid(9, 2.0) == ()
    quarantine.note_ended("engine-2", "req-8")
    assert quarantine.engines_to_avoid(POISON, 2.0) == []


def test_one_common_cause_is_excused_and_no_second() -> None:
    quarantine = Quarantine()
    quarantine.note_death(POISON, "engine-0/a", 0.0, 1.0)
    for number in range(1, COMMON_CAUSE_ENGINES + 1):
        quarantine.note_death(number, f"engine-{number}/a", 0.0, 1.0)
    quarantine.note_death(POISON, "engine-9/a", 1.0, 1.5)
    assert not quarantine.suspects[POISON].is_quarantined
    quarantine.note_death(POISON, "engine-8/a", 1.6, 2.0)
    assert quarantine.suspects[POISON].is_quarantined


def test_memory_is_bounded_and_keeps_the_quarantined() -> None:
    quarantine = Quarantine()
    quarantine.note_death(POISON, "engine-1/a", 0.0, 1.0)
    quarantine.note_death(POISON, "engine-2/a", 0.0, 2.0)
    for number in range(100, 100 + 2 * MAX_SUSPECTS):
        quarantine.note_death(number, "engine-1/a", 0.0, 3.0)
    assert len(quarantine.suspects) == MAX_SUSPECTS
    assert quarantine.suspects[POISON].is_quarantined


def test_quiet_suspects_cost_no_bytes() -> None:
    quarantine = Quarantine()
    quarantine.note_death(POISON, "engine-1/a", 0.0, 1.0)
    message = HeartbeatMessage()
    section = SuspectSection(quarantine)
    section.fill(message, PEER, 2.0 + REPEAT_AGE_S)
    assert message.ByteSize() == 0
    section.fill(message, None, 2.0 + REPEAT_AGE_S)
    assert len(message.suspects.suspects) == 1


def test_fingerprint_is_of_organisation_model_and_prompt() -> None:
    own = fingerprint_of(WORK, "prompt")
    assert own == fingerprint_of(WORK._replace(request="req-2"), "prompt")
    assert own != fingerprint_of(WORK, "prompt 2")
    assert own != fingerprint_of(WORK._replace(organisation="a"), "prompt")


DEATHS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.integers(0, 3),
        st.integers(0, 5),
        st.integers(0, 2),
    ),
    max_size=40,
)


@given(DEATHS, st.integers(0, 2**16))
def test_spreading_agrees_with_one_shared_record(
    deaths: list[tuple[int, int, int, int]], seed: int
) -> None:
    """Three daemons that spread agree with a twin that sees all."""
    source = random.Random(seed)
    daemons = [Quarantine() for _ in range(3)]
    twin: dict[int, set[str]] = {}
    now_s = 0.0
    for daemon, fingerprint, engine, copies in deaths:
        # Far apart, so that none has a common cause.
        now_s += 10.0
        upstream = f"engine-{engine}/{now_s}"
        twin.setdefault(fingerprint, set()).add(upstream)
        daemons[daemon].note_death(fingerprint, upstream, now_s, now_s)
        for _ in range(copies):
            first, second = source.sample(range(3), 2)
            spread(daemons[first], daemons[second], now_s)
    # However messages were lost or repeated, one exchange of all with
    # all settles it.
    for first in range(3):
        for second in range(3):
            for suspect in daemons[first].newest_suspects(now_s):
                daemons[second].merge(suspect, now_s)
    for fingerprint, upstreams in twin.items():
        for quarantine in daemons:
            found = quarantine.find(fingerprint, now_s)
            assert found is not None
            assert set(found.deaths) == upstreams


def test_told_suspect_is_not_kept_beyond_its_lifetime() -> None:
    quarantine = Quarantine()
    old = Suspect(POISON, ("engine-1/a",), -SUSPECT_LIFETIME_S)
    quarantine.merge(old, 1.0)
    assert quarantine.find(POISON, 1.0) is None


async def test_resent_poison_is_refused_on_every_daemon(
    platform: Platform,
) -> None:
    for engine in platform.engines:
        engine.poison = "crash"
    daemons = [await start_daemon(platform.settings(n)) for n in (1, 2)]
    body = {"model": MODEL, "prompt": "crash", "max_tokens": 8}
    answers = []
    for daemon in daemons:
        earn_retries(daemon, 1)
        answers.append(
            await call(
                f"127.0.0.1:{daemon.caller_listener.port}",
                "POST",
                "/v1/completions",
                json.dumps(body).encode(),
            )
        )
        # Heartbeats are tested elsewhere; their section is carried.
        spread(
            daemons[0].node.quarantine,
            daemons[1].node.quarantine,
            daemons[0].node.now_s(),
        )
    assert [answer.status for answer in answers] == [422, 422]
    for answer in answers:
        error = json.loads(answer.body)["error"]
        assert error["code"] == "quarantined"
    assert error["outcome"] == "not_run"
    assert sum(engine.deaths for engine in platform.engines) == 2
    for daemon in daemons:
        await daemon.stop()
