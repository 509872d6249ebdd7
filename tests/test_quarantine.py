"""A request that crashes engines must be refused by every daemon.

Without that, a caller that repeats it takes down engine after engine.
A request that only ran on engines that died must not be refused for a
single death, nor for the failure of a whole availability zone.
"""

import json
import random

from hypothesis import given
from hypothesis import strategies as st

from plantainsail.daemon import Daemon
from plantainsail.peers.suspect_section import REPEAT_AGE_S, SuspectSection
from plantainsail.peers.wire.fleet_pb2 import HeartbeatMessage
from plantainsail.policy.part_quarantine import EngineDeath, PartQuarantine
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
    start_fleet,
)
from tests.standins.suspects import PEER, carry_suspects

CRASHING = 7
# From the fifth death on, no further request may reach an engine.
MAX_DEATHS = 5
WORK = Work("req-1", "desk", "large", "m", 1, 1, 1, 0.0, 9.0)


def send_suspects(
    source: Quarantine, target: Quarantine, now_s: float
) -> None:
    message = HeartbeatMessage()
    SuspectSection(source, PartQuarantine()).fill(message, PEER, now_s)
    SuspectSection(target, PartQuarantine()).absorb(message, PEER, now_s)


def test_second_death_quarantines() -> None:
    quarantine = Quarantine()
    quarantine.note_death(CRASHING, "engine-1/a", 0.0, 1.0)
    suspect = quarantine.find(CRASHING, 1.0)
    assert suspect is not None
    assert not suspect.is_quarantined
    quarantine.note_death(CRASHING, "engine-2/a", 2.0, 3.0)
    suspect = quarantine.find(CRASHING, 3.0)
    assert suspect is not None
    assert suspect.is_quarantined
    assert quarantine.find(CRASHING, 4.0 + QUARANTINE_LIFETIME_S) is None


def test_one_death_seen_twice_counts_once() -> None:
    quarantine = Quarantine()
    quarantine.note_death(CRASHING, "engine-1/a", 0.0, 1.0)
    quarantine.note_death(CRASHING, "engine-1/a", 0.5, 1.1)
    assert quarantine.suspects[CRASHING].deaths == ("engine-1/a",)
    # The request started after the noted death, so the engine had
    # restarted since.
    quarantine.note_death(CRASHING, "engine-1/a", 5.0, 6.0)
    assert quarantine.suspects[CRASHING].is_quarantined


def test_suspects_never_share_an_engine() -> None:
    quarantine = Quarantine()
    for fingerprint in (CRASHING, 8):
        quarantine.note_death(fingerprint, "engine-1/a", 0.0, 1.0)
    quarantine.note_started("engine-2", "req-8", 8)
    quarantine.note_started("engine-3", "req-9", 9)
    assert quarantine.engines_to_avoid(CRASHING, 2.0) == ["engine-2"]
    assert quarantine.engines_to_avoid(9, 2.0) == ()
    quarantine.note_ended("engine-2", "req-8")
    assert quarantine.engines_to_avoid(CRASHING, 2.0) == []


def test_only_one_death_with_a_common_cause_is_excused() -> None:
    quarantine = Quarantine()
    quarantine.note_death(CRASHING, "engine-0/a", 0.0, 1.0)
    for number in range(1, COMMON_CAUSE_ENGINES + 1):
        quarantine.note_death(number, f"engine-{number}/a", 0.0, 1.0)
    quarantine.note_death(CRASHING, "engine-9/a", 1.0, 1.5)
    assert not quarantine.suspects[CRASHING].is_quarantined
    quarantine.note_death(CRASHING, "engine-8/a", 1.6, 2.0)
    assert quarantine.suspects[CRASHING].is_quarantined


def test_memory_is_bounded_and_quarantined_requests_are_kept() -> None:
    quarantine = Quarantine()
    quarantine.note_death(CRASHING, "engine-1/a", 0.0, 1.0)
    quarantine.note_death(CRASHING, "engine-2/a", 0.0, 2.0)
    for number in range(100, 100 + 2 * MAX_SUSPECTS):
        quarantine.note_death(number, "engine-1/a", 0.0, 3.0)
    assert len(quarantine.suspects) == MAX_SUSPECTS
    assert quarantine.suspects[CRASHING].is_quarantined


def test_old_suspects_are_sent_only_to_new_peers() -> None:
    quarantine = Quarantine()
    quarantine.note_death(CRASHING, "engine-1/a", 0.0, 1.0)
    message = HeartbeatMessage()
    section = SuspectSection(quarantine, PartQuarantine())
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
def test_daemons_agree_with_a_complete_record_after_an_exchange(
    deaths: list[tuple[int, int, int, int]], seed: int
) -> None:
    """Three daemons agree with a record of all deaths."""
    source = random.Random(seed)
    daemons = [Quarantine() for _ in range(3)]
    deaths_by_request: dict[int, set[str]] = {}
    now_s = 0.0
    for daemon, fingerprint, engine, messages in deaths:
        # Deaths are too far apart to have a common cause.
        now_s += 10.0
        upstream = f"engine-{engine}/{now_s}"
        deaths_by_request.setdefault(fingerprint, set()).add(upstream)
        daemons[daemon].note_death(fingerprint, upstream, now_s, now_s)
        for _ in range(messages):
            first, second = source.sample(range(3), 2)
            send_suspects(daemons[first], daemons[second], now_s)
    # Whichever messages were lost or repeated, one exchange between all
    # daemons makes them agree.
    for first in range(3):
        for second in range(3):
            for suspect in daemons[first].newest_suspects(now_s):
                daemons[second].merge(suspect, now_s)
    for fingerprint, upstreams in deaths_by_request.items():
        for quarantine in daemons:
            merged = quarantine.find(fingerprint, now_s)
            assert merged is not None
            assert set(merged.deaths) == upstreams


def test_expired_suspect_of_a_peer_is_not_merged() -> None:
    quarantine = Quarantine()
    old = Suspect(CRASHING, ("engine-1/a",), -SUSPECT_LIFETIME_S)
    quarantine.merge(old, 1.0)
    assert quarantine.find(CRASHING, 1.0) is None


async def test_resent_crashing_request_is_refused_by_every_daemon(
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
        # The test carries the section of suspects from daemon to daemon
        # itself; heartbeats have tests of their own.
        send_suspects(
            daemons[0].node.quarantine,
            daemons[1].node.quarantine,
            daemons[0].node.now_s(),
        )
    assert [answer.status for answer in answers] == [503, 503]
    for answer in answers:
        error = json.loads(answer.body)["error"]
        assert error["code"] == "quarantined"
    assert error["outcome"] == "not_run"
    assert sum(engine.deaths for engine in platform.engines) == 2
    for daemon in daemons:
        await daemon.stop()


async def test_chats_that_share_a_crashing_message_are_refused(
    platform: Platform,
) -> None:
    """No two chats are alike; sound ones share all but one message."""
    for engine in platform.engines:
        engine.poison = "crash"
    daemons = await start_fleet(platform, 2)
    codes = []
    for turn in range(8):
        daemon = daemons[turn % 2]
        earn_retries(daemon, 1)
        codes.append(await chat(daemon, "crash", f"question {turn}"))
        for receiver in daemons:
            await carry_suspects(daemon, receiver)
        sound = await chat(daemons[0], "be kind", f"question {turn}")
        assert sound is None
    assert codes[-1] == "quarantined"
    assert sum(engine.deaths for engine in platform.engines) <= MAX_DEATHS
    for daemon in daemons:
        await daemon.stop()


def test_heartbeats_repeat_a_quarantined_part_of_any_age() -> None:
    """A daemon that starts later knows none."""
    known, unknown = PartQuarantine(), PartQuarantine()
    for number in range(5):
        at_s = 10.0 * number
        death = EngineDeath(f"engine-{number}/a", at_s, at_s + 1.0)
        known.note_death(("message:1",), death, at_s + 1.0)
    known.note_sound_run(("message:2",), 1.0, 2.0)
    now_s = 20.0 * REPEAT_AGE_S
    message = HeartbeatMessage()
    SuspectSection(Quarantine(), known).fill(message, PEER, now_s)
    SuspectSection(Quarantine(), unknown).absorb(message, PEER, now_s)
    assert unknown.records == known.records
    assert unknown.find_cause(("message:1",), now_s) is not None


async def chat(daemon: Daemon, rule: str, question: str) -> str | None:
    """Send a chat; return the code of its failure, None if answered."""
    messages = [
        {"role": "system", "content": "You write guides."},
        {"role": "system", "content": rule},
        {"role": "user", "content": question},
    ]
    body = {"model": MODEL, "messages": messages, "max_tokens": 8}
    answer = await call(
        f"127.0.0.1:{daemon.caller_listener.port}",
        "POST",
        "/v1/chat/completions",
        json.dumps(body).encode(),
    )
    if answer.status == 200:
        return None
    code = json.loads(answer.body)["error"]["code"]
    assert isinstance(code, str)
    return code
