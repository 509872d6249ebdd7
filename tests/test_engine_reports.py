"""Tests of the load reports and cache events of engines.

Load reports are delayed, and cache events are delayed or lost.  The
daemon must not correct twice for the same state, nor trust hints about
prefixes whose removal it may have missed.
"""

import asyncio
import json

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from plantainsail.daemon import Daemon
from plantainsail.lists.model import HostEntry, Role
from plantainsail.policy.load_reports import (
    MIN_FACTOR,
    LoadCorrections,
    LoadReport,
)
from plantainsail.policy.prefixes import prefix_hashes
from plantainsail.results import Code
from plantainsail.upstreams.engine_reports import (
    decode_cache_events,
    decode_load,
)
from tests.standins.batching import Batch, Generation
from tests.standins.engine import Engine
from tests.standins.platform import MODEL, Platform, call

ENGINE = HostEntry("e0", Role.ENGINE, "127.0.0.1:1", "z")
SHARED_PREFIX = "Heat packs for the northern sites. " * 40
BUSY_REPORT = LoadReport(8, 3, 9_000, 0.5)
IDLE_REPORT = LoadReport(1, 0, 100, 0.5)


async def complete(address: str, prompt: str, tokens: int = 12) -> str:
    body = {"model": MODEL, "prompt": prompt, "max_tokens": tokens}
    answer = await call(
        address, "POST", "/v1/completions", json.dumps(body).encode()
    )
    assert answer.status == 200
    return str(json.loads(answer.body)["choices"][0]["text"])


def generation(number: int, prompt_tokens: int, priority: int) -> Generation:
    body = {"prompt": "x" * 4 * prompt_tokens, "priority": priority}
    return Generation(body | {"generation": str(number)}, 20)


async def test_full_memory_preempts_lowest_priority_generation() -> None:
    batch = Batch(Engine())
    batch.kv_tokens = 100
    generations = [generation(n, 40, n % 2) for n in range(3)]
    for work in generations:
        batch.submit(work)
    assert batch.task is not None
    await batch.task
    assert batch.preemptions >= 1
    assert generations[0].preemptions == 0
    assert all(work.produced == 20 for work in generations)


async def test_answers_are_complete_when_engines_preempt(
    daemon: Daemon, platform: Platform, address: str
) -> None:
    for engine in platform.engines:
        engine.length = 200
        engine.batch.kv_tokens = 300
    answers = await asyncio.gather(
        *(complete(address, "go", 200) for _ in range(6))
    )
    whole = "".join(f"w{number} " for number in range(200))
    assert answers == [whole] * 6
    assert sum(engine.batch.preemptions for engine in platform.engines) > 0


async def test_daemon_learns_cached_prefixes_from_delayed_events(
    fleet: list[Daemon], platform: Platform
) -> None:
    first, second, _ = fleet
    await complete(
        f"127.0.0.1:{first.caller_listener.port}", SHARED_PREFIX + "Site 1"
    )
    [engine] = [e for e in platform.engines if e.batch.cache.held]
    number = platform.engines.index(engine) + 1
    entry = second.node.store.hosts.hosts[f"engine-{number}"]
    hints = second.node.dispatcher.scheduler.prefixes
    prefixes = prefix_hashes((SHARED_PREFIX + "Site 2").encode())
    now_s = second.node.now_s()
    cache = engine.batch.cache
    cache.late = len(cache.events)
    await second.reports.read(entry)
    assert hints.cached_fraction(entry.host, prefixes, now_s) == 0.0
    cache.late = 0
    await second.reports.read(entry)
    assert hints.cached_fraction(entry.host, prefixes, now_s) > 0.9
    # Each lost event may have been the removal of the oldest prefix.
    first_lost = len(cache.events) + 1
    cache.lost = set(range(first_lost, first_lost + len(prefixes)))
    cache.use("another letter, long enough to be prefixes " * 60)
    await second.reports.read(entry)
    assert hints.cached_fraction(entry.host, prefixes, now_s) == 0.0
    # An engine whose event numbers restart has lost its cache.
    engine.die()
    await second.reports.read(entry)
    assert hints.latest_number(entry.host, entry.incarnation) == 0


async def test_report_of_waiting_work_reduces_usable_memory(
    daemon: Daemon, platform: Platform
) -> None:
    engine = platform.engines[0]
    entry = daemon.node.store.hosts.hosts["engine-1"]
    scheduler = daemon.node.dispatcher.scheduler
    daemon.node.dispatcher.configure(daemon.node.now_s())
    engine.batch.kv_tokens = 100
    for number in range(4):
        engine.batch.waiting.append(generation(number, 60, 0))
    engine.batch.step()
    await daemon.reports.read(entry)
    assert scheduler.placer.corrections.usable_tokens("engine-1", 1_000) == 800
    engine.batch.loads[0] = engine.batch.loads[0]._replace(waiting=-1)
    await daemon.reports.read(entry)
    failed = daemon.node.metrics.registry.get_sample_value(
        "plantainsail_engine_reports_total",
        {"report": "load", "result": "failed"},
    )
    assert failed == 1
    assert scheduler.placer.corrections.usable_tokens("engine-1", 1_000) == 800


def test_engine_state_is_applied_only_once() -> None:
    corrections = LoadCorrections()
    corrections.record("e0", BUSY_REPORT, 100.0)
    corrections.record("e0", BUSY_REPORT, 100.4)
    assert corrections.usable_tokens("e0", 1_000) == 800
    corrections.record("e0", BUSY_REPORT._replace(age_s=60.0), 200.0)
    assert corrections.usable_tokens("e0", 1_000) == 800
    for number in range(10):
        corrections.record("e0", IDLE_REPORT, 201.0 + number)
    assert corrections.usable_tokens("e0", 1_000) == 1_000
    assert not corrections.corrections


@given(st.lists(st.tuples(st.integers(0, 2), st.floats(0.0, 40.0))))
def test_correction_stays_within_its_limits(
    reports: list[tuple[int, float]],
) -> None:
    corrections = LoadCorrections()
    for number, (waiting, age_s) in enumerate(reports):
        report = LoadReport(1, waiting, 0, age_s)
        corrections.record("e0", report, float(number))
        usable = corrections.usable_tokens("e0", 1_000)
        assert int(MIN_FACTOR * 1_000) <= usable <= 1_000


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner)
        | st.dictionaries(
            st.sampled_from(
                ["running", "waiting", "age_s", "latest", "events", "number"]
            ),
            inner,
        )
    ),
    max_leaves=8,
)


@given(st.binary() | JSON_VALUES.map(lambda value: json.dumps(value).encode()))
def test_malformed_reports_are_refused(body: bytes) -> None:
    load = decode_load(ENGINE, body)
    assert load.is_ok() or load.error.code is Code.UPSTREAM_GARBLED
    news = decode_cache_events(ENGINE, body)
    assert news.is_ok() or news.error.code is Code.UPSTREAM_GARBLED
    if news.is_ok():
        assert msgspec.json.decode(body)["events"] == []
