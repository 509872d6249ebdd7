"""Limits on what callers' connections may hold, and who yields first.

A caller that takes no answers, sends ahead or sends slowly makes a
daemon hold bytes and descriptors for it.  All limits derive from the
memory and the descriptors of the host:

    budget = make_budget(128_000_000, 3_075)
    budget.max_connections
    for closing in choose_closings(uses, budget): ...

Bytes are those of this process; the kernel's buffers of a connection
have a limit of their own.
"""

from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import NamedTuple

# The limits of a host that is not known are those of the smallest one.
DEFAULT_MEMORY_BYTES = 128_000_000
DEFAULT_DESCRIPTORS = 3_075
# A daemon without callers uses less than this.
IDLE_DAEMON_BYTES = 60_000_000
MIN_CALLER_BYTES = 8_000_000
# Eighths of the memory for callers: the large bodies among the held
# bytes, all held bytes, and the objects of connections and requests.
LARGE_BODY_EIGHTHS = 3
HELD_EIGHTHS = 4
OBJECT_EIGHTHS = 3
CONNECTION_OBJECT_BYTES = 18_000
# Kept for files, and for peers, store, metrics and connections that
# are accepted to be refused.  A host with few descriptors keeps an
# eighth and a quarter of them.
FILE_DESCRIPTORS = 200
OTHER_DESCRIPTORS = 128
MIN_CONNECTIONS = 16
# So many connections over the limit are told so at one time.
REFUSING_PART = 8
MAX_REFUSING = 32
# The connections of one client address may hold half of all bytes;
# beyond that, only those that take nothing or send ahead yield, since a
# balancer may give all callers the same address.
ADDRESS_PART = 2
# Whole bodies may take all but an eighth of the held bytes, so that
# further ones are refused before any connection must yield.
BODY_EIGHTHS = 7
# Connections yield in the order of these ranks.
RANK_STALLED = 0
RANK_AHEAD = 1
RANK_ORDINARY = 2
RANK_PROTECTED = 3
# A few connections and bytes for readiness checks, metrics and
# operators, which are apart from those of callers.
SIDE_CONNECTIONS = 32
SIDE_BYTES = 4_194_304
SIDE_REUSE_S = 1.0


class CallerBudget(NamedTuple):
    """The limits of all callers' connections together and of each.

    Beyond `max_connections`, each is refused with an answer, at most
    `max_refusing` at one time, and the others are closed.

    A connection is not read while `ahead_bytes` or more wait behind
    the request in progress.  `read_bytes` are received at once, and
    `socket_bytes` is the size of each kernel buffer.  A connection may
    be idle for `idle_s`; if there are too many, those that have been
    idle for `reuse_s` yield.  One whose caller takes nothing for
    `stall_s` is closed, and for `yield_s` if bytes must be released.
    """

    max_connections: int
    max_refusing: int
    held_bytes: int
    address_bytes: int
    body_bytes: int
    large_body_bytes: int
    ahead_bytes: int = 16_384
    read_bytes: int = 65_536
    socket_bytes: int = 131_072
    idle_s: float = 60.0
    reuse_s: float = 12.0
    stall_s: float = 60.0
    yield_s: float = 1.0


class CloseReason(StrEnum):
    """Why a connection of a caller is closed."""

    STALLED = "takes nothing"
    SILENT = "sends nothing"
    ADDRESS_BYTES = "client address holds too much"
    HELD_BYTES = "all connections hold too much"
    CONNECTIONS = "too many connections"


class ConnectionUse(NamedTuple):
    """What one connection holds.

    `stalled_s` is the time since its caller took any byte of those
    that wait to be taken, else 0.  `idle_s` is the time since the last
    byte or answer, or 0 during a request.  A protected connection has
    a request that may not be repeated and may run at an upstream.
    """

    held_bytes: int
    stalled_s: float
    idle_s: float
    address: str
    is_ahead: bool = False
    is_protected: bool = False


class Closing(NamedTuple):
    """A connection to close, by its position, and the reason.

    One that is protected is closed after its answer.
    """

    position: int
    reason: CloseReason


def make_budget(memory_bytes: int, file_descriptors: int) -> CallerBudget:
    """Return the limits for a host; 0 stands for an unknown number."""
    memory = memory_bytes or DEFAULT_MEMORY_BYTES
    descriptors = file_descriptors or DEFAULT_DESCRIPTORS
    caller_bytes = max(MIN_CALLER_BYTES, memory - IDLE_DAEMON_BYTES)
    held_bytes = caller_bytes * HELD_EIGHTHS // 8
    object_bytes = caller_bytes * OBJECT_EIGHTHS // 8
    usable = descriptors
    usable -= min(FILE_DESCRIPTORS, descriptors // 8)
    usable -= min(OTHER_DESCRIPTORS, descriptors // 4)
    # Each request may need a connection to an upstream.
    connections = min(usable // 2, object_bytes // CONNECTION_OBJECT_BYTES)
    connections = max(MIN_CONNECTIONS, connections)
    return CallerBudget(
        connections,
        min(MAX_REFUSING, connections // REFUSING_PART),
        held_bytes,
        held_bytes // ADDRESS_PART,
        held_bytes * BODY_EIGHTHS // 8,
        caller_bytes * LARGE_BODY_EIGHTHS // 8,
    )


def apply_settings(budget: CallerBudget, settings: NamedTuple) -> CallerBudget:
    """Return a budget with the limits of settings that are not 0.

    The fields of `settings` are some of the budget's.
    """
    limits = settings._asdict()
    return budget._replace(
        **{name: limit for name, limit in limits.items() if limit}
    )


def make_side_budget() -> CallerBudget:
    """Return the limits for listeners that callers do not use."""
    return CallerBudget(
        SIDE_CONNECTIONS,
        SIDE_CONNECTIONS // REFUSING_PART,
        SIDE_BYTES,
        SIDE_BYTES,
        SIDE_BYTES,
        SIDE_BYTES,
        reuse_s=SIDE_REUSE_S,
    )


def choose_closings(
    uses: Sequence[ConnectionUse], budget: CallerBudget
) -> list[Closing]:
    """Return the connections to close, each once."""
    closings: dict[int, CloseReason] = {}
    for index, use in enumerate(uses):
        if use.stalled_s >= budget.stall_s:
            closings[index] = CloseReason.STALLED
        elif use.idle_s >= budget.idle_s:
            closings[index] = CloseReason.SILENT
    _release_addresses(uses, budget, closings)
    rest = [index for index in range(len(uses)) if index not in closings]
    excess_bytes = _held_bytes(uses, rest) - budget.held_bytes
    for index in _choose(uses, rest, budget, excess_bytes, RANK_PROTECTED):
        closings[index] = CloseReason.HELD_BYTES
    return [Closing(index, reason) for index, reason in closings.items()]


def choose_idle(
    uses: Sequence[ConnectionUse], budget: CallerBudget, newcomer: str
) -> int | None:
    """Return which connection yields to a new one, or None.

    First one whose caller takes nothing, then the one that has been
    idle longest, if a caller within the limits would not use it again.
    A client address with more than half of all connections yields an
    idle one to another address at any time.
    """
    stalled = _longest([use.stalled_s for use in uses], budget.yield_s)
    if stalled is not None and not uses[stalled].is_protected:
        return stalled
    idle = _longest([use.idle_s for use in uses], budget.reuse_s)
    if idle is not None:
        return idle
    counts: dict[str, int] = {}
    for use in uses:
        counts[use.address] = counts.get(use.address, 0) + 1
    idle_s: list[float] = []
    for use in uses:
        is_crowd = use.address != newcomer
        is_crowd = is_crowd and counts[use.address] * 2 > len(uses)
        idle_s.append(use.idle_s if is_crowd else 0.0)
    return _longest(idle_s, 0.0)


def _longest(times_s: list[float], limit_s: float) -> int | None:
    """Return the position of the longest time over a limit."""
    best: int | None = None
    longest_s = limit_s
    for index, time_s in enumerate(times_s):
        if time_s > longest_s:
            best, longest_s = index, time_s
    return best


def _held_bytes(uses: Sequence[ConnectionUse], members: Iterable[int]) -> int:
    return sum(uses[index].held_bytes for index in members)


def _release_addresses(
    uses: Sequence[ConnectionUse],
    budget: CallerBudget,
    closings: dict[int, CloseReason],
) -> None:
    limit_bytes = budget.address_bytes
    if _held_bytes(uses, range(len(uses))) <= limit_bytes:
        return
    indices: dict[str, list[int]] = {}
    for index, use in enumerate(uses):
        if index not in closings:
            indices.setdefault(use.address, []).append(index)
    for members in indices.values():
        excess_bytes = _held_bytes(uses, members) - limit_bytes
        for index in _choose(uses, members, budget, excess_bytes, RANK_AHEAD):
            closings[index] = CloseReason.ADDRESS_BYTES


def _choose(
    uses: Sequence[ConnectionUse],
    members: Iterable[int],
    budget: CallerBudget,
    excess_bytes: int,
    last_rank: int,
) -> list[int]:
    """Return connections up to a rank that hold so many bytes."""
    chosen: list[int] = []
    if excess_bytes <= 0:
        return chosen
    for index in sorted(members, key=lambda i: _yield_order(uses[i], budget)):
        rank, _ = _yield_order(uses[index], budget)
        if excess_bytes <= 0 or rank > last_rank:
            break
        if not uses[index].held_bytes:
            continue
        chosen.append(index)
        excess_bytes -= uses[index].held_bytes
    return chosen


def _yield_order(use: ConnectionUse, budget: CallerBudget) -> tuple[int, int]:
    """Return the order in which connections yield: lowest first.

    Among equal ones, that which holds most yields first.
    """
    if use.is_protected:
        rank = RANK_PROTECTED
    elif use.stalled_s >= budget.yield_s:
        rank = RANK_STALLED
    elif use.is_ahead:
        rank = RANK_AHEAD
    else:
        rank = RANK_ORDINARY
    return rank, -use.held_bytes
