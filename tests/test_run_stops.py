"""A request that goes on elsewhere does not run on where it was.

An engine may lose the connection of a run and work on, or may not get
the order to stop it.  The daemon took either for the end of the run, so
that two engines worked on one request.
"""

import asyncio
from collections.abc import Iterator
from typing import NamedTuple

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from plantainsail.entry import daemon as daemons
from plantainsail.entry.daemon import EntryDaemon
from plantainsail.routing.model import RequestKind, RoutedUpstream
from plantainsail.routing.run_ends import (
    MAX_UNKNOWN_ANSWERS,
    ORDER_PAUSE_S,
    QUICK_ORDERS,
    UNLISTED_ORDER_PAUSE_S,
    EndProof,
    OrderedRun,
    StopAnswer,
    StopProgress,
    pause_s,
    proof_in_answer,
    proof_in_list,
)
from tests.standins.keeping_engines import (
    EVENT_S,
    EVENTS,
    BreakAt,
    KeepingEngines,
    OrderFault,
    Plan,
    Work,
)
from tests.standins.routed import (
    CallerAnswer,
    StandInCaller,
    StandInSource,
    configuration,
    event,
    route,
    start_entry,
)
from tests.standins.waiting import until

HEADERS = {"plantainsail-tokens": "10,900", "plantainsail-length-hint": "400"}
WHOLE = b"".join(event(number) for number in range(EVENTS))
# A run may go on for so long after its request continues elsewhere.
OVERLAP_S = 0.4
# The longest pause between two events of a moved stream.
PAUSE_S = 0.18
LEAVES_AT = 5
HANG_S = 20.0
ATTEMPTS = 4
EXAMPLES = 12
ENGINE = RoutedUpstream("e0", "service", "127.0.0.1:9", "a", 8, born_ms=1)


class Played(NamedTuple):
    """The callers' answers, each request's runs, and the engines."""

    answers: list[CallerAnswer]
    works: list[list[Work]]
    pauses_s: list[float]
    engines: KeepingEngines


class Stage:
    """A daemon with its engines and the streams of some callers."""

    def __init__(self, plan: Plan, *, is_resumable: bool) -> None:
        self.plan = plan
        self.engines = KeepingEngines(plan)
        self.is_resumable = is_resumable
        self.calls: list[asyncio.Task[CallerAnswer]] = []
        self.daemon: EntryDaemon | None = None

    async def start(self) -> EntryDaemon:
        """Start the daemon and its streams, all at one engine."""
        entries = await self.engines.start()
        base = route(
            "/stream/", RequestKind.STREAMING, attempts=ATTEMPTS, timeout_s=9
        )
        routes = (base._replace(is_resumable=self.is_resumable),)
        self.source = StandInSource(configuration(routes=routes), entries[:1])
        daemon = await start_entry(self.source, self.engines)
        self.daemon = daemon
        await until(daemon.node.is_ready)
        daemon.node.members.largest = 2
        caller = StandInCaller(daemon)
        for number, at in enumerate(self.plan.breaks):
            name = f"r{number}"
            self.engines.broken_by_request[name] = at
            headers = HEADERS | {"plantainsail-request-id": name}
            self.calls.append(
                asyncio.create_task(caller.call("/stream/x", headers))
            )
        await until(self._have_begun)
        for entry in entries[1:]:
            self.source.put(entry)
        registry = daemon.node.registry
        await until(lambda: len(registry.entries) == len(entries))
        return daemon

    def _have_begun(self) -> bool:
        assert self.daemon is not None
        generations = list(self.daemon.stream.generations)
        return len(generations) == len(self.calls) and all(
            generation.positions.count >= LEAVES_AT
            for generation in generations
        )

    def break_before(self) -> None:
        """Break the streams whose engine is not going to leave."""
        (address,) = [
            address
            for address, engine in self.engines.by_address.items()
            if engine.name == "e0"
        ]
        for request in list(self.engines.broken_by_request):
            self.engines.break_if_due(address, request, BreakAt.BEFORE)

    def leave(self) -> None:
        """Let the engine of all streams leave."""
        upstream = self.source.upstreams["e0"]
        self.source.put(upstream._replace(is_draining=True))

    async def finish(self) -> Played:
        """Return what was seen once no engine works any more."""
        assert self.daemon is not None
        pauses_s: list[float] = []
        try:
            async with asyncio.timeout(HANG_S):
                answers = await asyncio.gather(*self.calls)
                pauses_s = list(self.longest_pauses_s())
                await until(self.engines.are_idle)
                node = self.daemon.node
                await until(lambda: not node.fleet_loads.own)
        finally:
            await self.daemon.stop()
            self.engines.stop()
        works = [
            self.engines.works_of(f"r{number}")
            for number in range(len(self.calls))
        ]
        return Played(answers, works, pauses_s, self.engines)

    def longest_pauses_s(self) -> Iterator[float]:
        """Yield the upper limits of the callers' longest pauses."""
        assert self.daemon is not None
        samples = list(self.daemon.node.metrics.pause.collect())[0].samples
        counts = [one for one in samples if one.name.endswith("_bucket")]
        total = counts[-1].value
        for one in counts:
            if one.value == total:
                yield float(one.labels["le"])
                return


async def play(plan: Plan, *, is_resumable: bool = False) -> Played:
    """Run some streams whose engine leaves."""
    stage = Stage(plan, is_resumable=is_resumable)
    await stage.start()
    stage.break_before()
    if any(at is not BreakAt.BEFORE for at in plan.breaks):
        stage.leave()
    return await stage.finish()


def overlap_s(works: list[Work], reachable_s: float) -> float:
    """Return how long a run went on after the next one had begun.

    The time before `reachable_s` does not count.
    """
    longest_s = 0.0
    for earlier, later in zip(works, works[1:], strict=False):
        from_s = max(later.began_s, reachable_s)
        longest_s = max(longest_s, earlier.worked_s - from_s)
    return longest_s


def check(played: Played) -> None:
    """Assert what callers and engines may rely on."""
    for answer in played.answers:
        assert answer.status == 200
        assert WHOLE.startswith(answer.body), "an event is missing or twice"
        assert answer.body == WHOLE or not answer.is_whole, "cut looks whole"
    for works in played.works:
        overlapped_s = overlap_s(works, played.engines.reachable_s)
        assert overlapped_s < OVERLAP_S, "ran twice"


def check_whole(played: Played) -> None:
    """Assert that each caller got its whole stream."""
    check(played)
    for answer in played.answers:
        assert answer.is_whole


@pytest.mark.parametrize(
    "at",
    [
        BreakAt.NEVER,
        BreakAt.FIRST_MADE,
        BreakAt.FINAL_ASKED,
        BreakAt.FINAL_MADE,
    ],
)
def test_run_whose_connection_breaks_in_a_move_is_stopped(at: BreakAt) -> None:
    """The move was given up with the order to stop the run unsent."""
    played = asyncio.run(play(Plan((at, BreakAt.NEVER, BreakAt.NEVER))))
    check_whole(played)
    assert [len(works) for works in played.works] == [2, 2, 2]
    assert played.pauses_s[0] <= PAUSE_S


def test_run_is_ordered_to_stop_before_it_continues() -> None:
    """A daemon that is killed in between leaves no run twice."""
    plan = Plan((BreakAt.FIRST_MADE, BreakAt.NEVER, BreakAt.NEVER))
    happened = asyncio.run(play(plan)).engines.happened
    mine = [one for one in happened if one.startswith("r0 ")]
    assert mine == ["r0 runs", "r0 is to stop", "r0 runs"]


@pytest.mark.parametrize("at", [BreakAt.NEVER, BreakAt.FIRST_MADE])
@pytest.mark.parametrize("fault", OrderFault)
def test_order_to_stop_is_repeated_until_the_end_is_certain(
    fault: OrderFault, at: BreakAt
) -> None:
    """The order was given once, and no answer was taken for the end."""
    plan = Plan((at, BreakAt.NEVER), orders=(fault, fault))
    played = asyncio.run(play(plan))
    check_whole(played)
    assert played.pauses_s[0] <= PAUSE_S


@pytest.mark.parametrize("is_resumable", [False, True])
def test_run_at_an_engine_that_is_reachable_again_is_stopped(
    is_resumable: bool,
) -> None:
    """The order was given up while the engine could not be reached."""
    at = BreakAt.BEFORE if is_resumable else BreakAt.FIRST_MADE
    plan = Plan((at,), unreachable_s=0.4)
    played = asyncio.run(play(plan, is_resumable=is_resumable))
    check_whole(played)
    assert len(played.works[0]) == 2


@pytest.mark.parametrize(
    "at", [BreakAt.BEFORE, BreakAt.FIRST_ASKED, BreakAt.FIRST_MADE]
)
@pytest.mark.parametrize("fault", OrderFault)
def test_run_of_a_resumed_stream_is_stopped(
    fault: OrderFault, at: BreakAt
) -> None:
    """Its request ran anew elsewhere and nobody stopped it."""
    plan = Plan((at,), orders=(fault,))
    played = asyncio.run(play(plan, is_resumable=True))
    check_whole(played)
    assert len(played.works[0]) == 2
    happened = played.engines.happened
    assert happened[:3] == ["r0 runs", "r0 is to stop", "r0 runs"]


def test_run_of_a_silent_connection_is_stopped() -> None:
    """The engine gets no close of a connection that is dead."""
    plan = Plan((BreakAt.BEFORE,), is_silent=True, event_s=0.05)
    played = asyncio.run(play(plan, is_resumable=True))
    check_whole(played)
    assert len(played.works[0]) == 2


def test_copy_that_only_stopped_a_run_is_freed() -> None:
    """It would occupy memory and a slot at its engine."""
    played = asyncio.run(play(Plan((BreakAt.BEFORE,)), is_resumable=True))
    check_whole(played)
    assert played.engines.orders["r0"] == 1
    assert played.engines.held == 0


def test_stream_that_goes_nowhere_else_is_not_stopped() -> None:
    """Its caller sees it break off, and no other engine gets it."""
    played = asyncio.run(play(Plan((BreakAt.BEFORE,))))
    check(played)
    assert not played.answers[0].is_whole
    assert len(played.works[0]) == 1
    assert not played.engines.orders


def test_run_is_stopped_while_the_daemon_leaves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """SIGTERM came between the break and the order's answer."""
    monkeypatch.setattr(daemons, "BALANCER_DELAY_S", 0.1)
    faults = (OrderFault.RESET, OrderFault.LOST)
    plan = Plan((BreakAt.FIRST_MADE, BreakAt.NEVER), orders=faults)

    async def leave_during_move() -> Played:
        stage = Stage(plan, is_resumable=False)
        daemon = await stage.start()
        stage.leave()
        await until(lambda: not stage.engines.broken_by_request.get("r0"))
        daemon.leave()
        await daemon._wait_for_running_work()
        return await stage.finish()

    check_whole(asyncio.run(leave_during_move()))


def test_new_run_at_the_same_engine_is_not_stopped() -> None:
    """An old order would end it: both runs have the same name."""

    async def return_to_its_engine() -> None:
        plan = Plan((BreakAt.BEFORE,), unreachable_s=HANG_S)
        stage = Stage(plan, is_resumable=True)
        daemon = await stage.start()
        stage.break_before()
        stops = daemon.stream.stops
        assert stops is not None
        await until(lambda: len(stops.tasks) == 1)
        stops.withdraw("r0", stage.source.upstreams["e1"])
        await asyncio.sleep(0)
        assert len(stops.tasks) == 1
        stops.withdraw("r0", stage.source.upstreams["e0"])
        await until(lambda: not stops.tasks)
        await stage.finish()

    asyncio.run(return_to_its_engine())


PLANS = st.builds(
    Plan,
    breaks=st.lists(st.sampled_from(BreakAt), min_size=1, max_size=3).map(
        tuple
    ),
    orders=st.lists(st.sampled_from(OrderFault), max_size=3).map(tuple),
    unreachable_s=st.sampled_from([0.0, 0.0, 0.3]),
    is_silent=st.just(False),
    event_s=st.just(EVENT_S),
)


@settings(
    max_examples=EXAMPLES,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(plan=PLANS, is_resumable=st.booleans())
def test_no_order_of_breaks_and_lost_orders_leaves_a_run_twice(
    plan: Plan, is_resumable: bool
) -> None:
    check(asyncio.run(play(plan, is_resumable=is_resumable)))


@pytest.mark.parametrize(
    ("answer", "has_begun", "proof"),
    [
        (StopAnswer(200), True, EndProof.STOPPED),
        (StopAnswer(200, keeps_memory=True), False, EndProof.STOPPED),
        (StopAnswer(503, keeps_memory=True), True, EndProof.STOPPED),
        (StopAnswer(503), True, None),
        (StopAnswer(409), True, None),
        (StopAnswer(429), True, None),
        (StopAnswer(0), True, None),
        (StopAnswer(404), True, EndProof.UNKNOWN),
        (StopAnswer(404), False, None),
        (
            StopAnswer(0, has_process_ended=True),
            False,
            EndProof.PROCESS_ENDED,
        ),
    ],
)
def test_only_some_answers_prove_that_a_run_has_ended(
    answer: StopAnswer, has_begun: bool, proof: EndProof | None
) -> None:
    progress = StopProgress().add(answer)
    assert proof_in_answer(answer, progress, has_begun=has_begun) is proof


def test_engine_that_never_begins_a_run_is_asked_for_some_seconds() -> None:
    """It does not know a run that waits there for its first token."""
    progress = StopProgress()
    asked_s = 0.0
    unknown = StopAnswer(404)
    while True:
        progress = progress.add(unknown)
        if proof_in_answer(unknown, progress, has_begun=False):
            break
        asked_s += pause_s(progress, is_listed=True)
    assert progress.orders == MAX_UNKNOWN_ANSWERS
    assert 2.0 <= asked_s <= 10.0


def test_lists_and_deadline_prove_the_end_of_a_run() -> None:
    run = OrderedRun("r0", ENGINE, deadline_s=5.0)
    assert proof_in_list(run, ENGINE, 4.9) is None
    assert proof_in_list(run, None, 4.9) is None
    assert proof_in_list(run, ENGINE, 5.0) is EndProof.DEADLINE
    restarted = ENGINE._replace(born_ms=2)
    assert proof_in_list(run, restarted, 0.0) is EndProof.RESTARTED


def test_engine_that_is_not_listed_is_asked_seldom_after_a_while() -> None:
    """One that left without a notice still works for a while."""
    quick = StopProgress(QUICK_ORDERS - 1)
    assert pause_s(quick, is_listed=False) == ORDER_PAUSE_S
    slow = StopProgress(QUICK_ORDERS)
    assert pause_s(slow, is_listed=False) == UNLISTED_ORDER_PAUSE_S
    assert pause_s(slow, is_listed=True) == ORDER_PAUSE_S
