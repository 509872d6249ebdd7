"""Passes what answers show to the ramps of upstreams, and tells peers.

`routing.ramp` decides how much a started or recovered upstream may get.
Nothing here does anything unless the settings enable it.
"""

import math
from collections.abc import Iterable, Mapping

from plantainsail.entry.node import EntryNode
from plantainsail.routing.fleet_loads import NO_LOAD, UpstreamLoad
from plantainsail.routing.messages import RampEntry, RampReport
from plantainsail.routing.model import RoutedUpstream, Service
from plantainsail.routing.ramp import (
    PLAIN_SHARE_MARGIN,
    SHARE_MARGIN,
    steady_share,
)
from plantainsail.routing.ramp_records import (
    ChangeKind,
    Demand,
    RampChange,
    RampLimit,
    RampRecord,
)
from plantainsail.routing.ramp_signs import (
    Verdict,
    is_overload_pause,
    judge_first_event,
)
from plantainsail.upstreams.single_use import AnswerHead, ConnectProblem

MAX_RAMPS_PER_MESSAGE = 16
MAX_REPEATED_RAMPS = 64
# Statuses by which an upstream says that it has too much.
OVERLOAD_STATUSES = frozenset({429, 503})
# The reasons of failures that came as whole answers.
ANSWERED_REASONS = frozenset({"refused", "not its answer"})
# An upstream without a limit that failed this often in a row starts a
# ramp when it answers again.
RECOVERY_FAILURES = 2
OWN = "own"
MS_PER_S = 1_000


def observe(node: EntryNode) -> None:
    """Start the ramps of upstreams that are listed first now."""
    ramps = node.ramps
    if not ramps.is_enabled or ramps.revision == node.registry.revision:
        return
    now_s = node.now_s()
    changes = ramps.observe(
        node.registry.entries,
        node.registry.revision,
        node.fleet_loads.totals(now_s),
        now_s,
    )
    for change in changes:
        _log_change(node, change, "new", OWN)


def note_choice(node: EntryNode, service: Service) -> None:
    """Prepare for a request that looks for an upstream of a service."""
    if not node.ramps.is_enabled:
        return
    observe(node)
    node.ramps.note_choice(service.name, node.now_s())


def engine_limits(
    node: EntryNode,
    service: Service,
    upstreams: list[RoutedUpstream],
    loads: Mapping[str, UpstreamLoad],
    now_s: float,
) -> dict[str, RampLimit]:
    """Return the limits of those engines that have one."""
    ramping = _ramping_of(
        node, [upstream.identifier for upstream in upstreams]
    )
    if not ramping:
        return {}
    daemons = node.fleet_loads.busy_daemons(now_s)
    traits = service.traits
    tokens_per_request = traits.memory_tokens / traits.slots
    limits: dict[str, RampLimit] = {}
    for identifier in ramping:
        demand = Demand(
            service.name,
            loads.get(identifier, NO_LOAD).running,
            daemons,
            tokens_per_request=tokens_per_request,
        )
        limit = node.ramps.limit_of(identifier, demand, now_s)
        if limit is not None:
            limits[identifier] = limit
    return limits


def plain_limits(
    node: EntryNode,
    service: Service,
    running: Mapping[str, int],
    now_s: float,
) -> dict[str, RampLimit]:
    """Return the limits of a plain service's upstreams that have one.

    `running` is the load of each upstream, as far as it is known.  Most
    requests end too soon for others to learn of them, so each daemon
    uses an equal part of a limit.
    """
    ramping = _ramping_of(node, running)
    if not ramping:
        return {}
    daemons = len(node.members.live(now_s)) + 1
    usual = node.answer_times.services.get(service.name)
    answer_s = 0.0 if usual is None else usual.mean_s
    limits: dict[str, RampLimit] = {}
    for identifier in ramping:
        own = node.fleet_loads.own.get(identifier, NO_LOAD)
        demand = Demand(
            service.name,
            running[identifier],
            daemons,
            own.running,
            answer_s,
        )
        limit = node.ramps.limit_of(identifier, demand, now_s)
        if limit is not None:
            limits[identifier] = limit
    return limits


def note_first_event(
    node: EntryNode,
    upstream: RoutedUpstream,
    unread_tokens: int,
    sent_s: float,
) -> None:
    """Judge an engine by the first event of a request."""
    identifier = upstream.identifier
    if not node.ramps.is_ramping(identifier):
        return
    now_s = node.now_s()
    rates: list[float] = []
    for other in _settled_upstreams(node, upstream.service):
        rates.append(node.read_rates.rate(other.identifier))
    verdict = judge_first_event(
        unread_tokens,
        now_s - sent_s,
        node.read_rates.rate(identifier),
        rates,
    )
    running = node.fleet_loads.load_of(identifier, now_s).running
    _apply_verdict(node, upstream, verdict, sent_s, running)


def note_pause(
    node: EntryNode, upstream: RoutedUpstream, pause_s: float, now_s: float
) -> None:
    """Judge an engine by a pause between two events."""
    identifier = upstream.identifier
    if not node.ramps.is_ramping(identifier):
        return
    if is_overload_pause(pause_s, node.paces.usual_s(identifier, now_s)):
        _lower(node, upstream, now_s - pause_s, "a pause")


def note_plain_answer(
    node: EntryNode, upstream: RoutedUpstream, sent_s: float
) -> None:
    """Judge an upstream of a plain service by the time of an answer."""
    if not node.ramps.is_enabled:
        return
    elapsed_s = node.now_s() - sent_s
    if not node.ramps.is_ramping(upstream.identifier):
        node.answer_times.add_settled(upstream.service, elapsed_s)
        return
    verdict = node.answer_times.judge(
        upstream.service, upstream.identifier, elapsed_s
    )
    _apply_verdict(node, upstream, verdict, sent_s, None)


def note_answer_head(
    node: EntryNode,
    upstream: RoutedUpstream,
    head: AnswerHead,
    sent_s: float,
) -> None:
    """Lower the limit of an upstream that says that it is overloaded.

    One without a limit is only held off, as it may name a time.  An
    engine whose slots are all taken refuses requests that daemons sent
    at the same moment, which shows no overload.
    """
    if head.status not in OVERLOAD_STATUSES:
        return
    if not node.ramps.is_ramping(upstream.identifier):
        return
    now_s = node.now_s()
    load = node.fleet_loads.load_of(upstream.identifier, now_s)
    if load.running >= _slots_of(node, upstream):
        return
    _lower(node, upstream, sent_s, f"status {head.status}")


def note_failed(
    node: EntryNode, upstream: RoutedUpstream, sent_s: float, reason: str
) -> None:
    """Lower the limit of an upstream that gave no complete answer.

    A refusal is judged by its status, in `note_answer_head`.
    """
    if not node.ramps.is_enabled or reason in ANSWERED_REASONS:
        return
    is_gone = reason == ConnectProblem.NO_PROCESS
    if not is_gone and not _is_limited_or_failing(node, upstream):
        return
    _lower(node, upstream, sent_s, reason, is_gone=is_gone)


def make_reports(node: EntryNode, identifiers: list[str]) -> list[RampReport]:
    """Return messages on some upstreams, of limited size."""
    now_s = node.now_s()
    entries: list[RampEntry] = []
    for identifier in identifiers:
        record = node.ramps.record_of(identifier, now_s)
        age_ms = int(record.age_s * MS_PER_S)
        entries.append(RampEntry(*record[:-1], age_ms))
    reports: list[RampReport] = []
    for start in range(0, len(entries), MAX_RAMPS_PER_MESSAGE):
        reports.append(
            RampReport(
                node.settings.peer_address,
                node.nonce,
                tuple(entries[start : start + MAX_RAMPS_PER_MESSAGE]),
            )
        )
    return reports


def news(node: EntryNode) -> list[RampReport]:
    """Return messages on the limits that this daemon changed."""
    if not node.ramps.unsent:
        return []
    now_s = node.now_s()
    daemons = len(node.members.live(now_s)) + 1
    return make_reports(node, node.ramps.pop_unsent(daemons, now_s))


def repeated(node: EntryNode) -> list[RampReport]:
    """Return messages on limits of which any daemon must know.

    If there are too many for one round, some are drawn.
    """
    identifiers = node.ramps.to_repeat(node.now_s())
    if len(identifiers) > MAX_REPEATED_RAMPS:
        identifiers = node.random.sample(identifiers, MAX_REPEATED_RAMPS)
    return make_reports(node, identifiers)


def apply_report(node: EntryNode, report: RampReport) -> None:
    """Merge what a peer knows of limits."""
    if not node.ramps.is_enabled:
        return
    observe(node)
    now_s = node.now_s()
    for entry in report.ramps:
        record = RampRecord(*entry[:-1], entry.age_ms / MS_PER_S)
        change = node.ramps.merge(report.nonce, record, now_s)
        if change is not None:
            _log_change(node, change, "told", report.address)


def update_gauge(node: EntryNode) -> None:
    """Show how many upstreams have a limit."""
    ramping = node.ramps.ramping()
    node.metrics.ramping_upstreams.set(len(ramping))
    node.answer_times.forget_except(ramping)


def _apply_verdict(
    node: EntryNode,
    upstream: RoutedUpstream,
    verdict: Verdict,
    sent_s: float,
    running: int | None,
) -> None:
    """Change an upstream's limit by what an answer showed."""
    if verdict is Verdict.OVERLOADED:
        _lower(node, upstream, sent_s, "a late answer")
        return
    if verdict is Verdict.FULL:
        return
    now_s = node.now_s()
    margin = PLAIN_SHARE_MARGIN if running is None else SHARE_MARGIN
    change = node.ramps.note_good(
        upstream.identifier,
        sent_s,
        running,
        _steady_share(node, upstream, margin, now_s),
        now_s,
    )
    if change is None:
        return
    node.announcements_pending.set()
    if change.kind is ChangeKind.RAISED:
        node.metrics.ramp_changes.labels("raised").inc()
    _log_change(node, change, "answered", OWN)


def _lower(
    node: EntryNode,
    upstream: RoutedUpstream,
    sent_s: float,
    reason: str,
    *,
    is_gone: bool = False,
) -> None:
    now_s = node.now_s()
    running = node.fleet_loads.load_of(upstream.identifier, now_s).running
    change = node.ramps.note_overload(
        upstream, sent_s, running, now_s, is_gone=is_gone
    )
    if change is None:
        return
    node.announcements_pending.set()
    node.metrics.ramp_changes.labels("lowered").inc()
    _log_change(node, change, reason, OWN)


def _is_limited_or_failing(node: EntryNode, upstream: RoutedUpstream) -> bool:
    """Return whether an overload counts for an upstream.

    One that has no limit may fail a single request for other reasons.
    """
    identifier = upstream.identifier
    if node.ramps.is_ramping(identifier):
        return True
    cuts = node.avoidance.cuts.get(identifier, ())
    failures = node.registry.failures.get(identifier, 0)
    return max(len(cuts), failures) >= RECOVERY_FAILURES


def _ramping_of(node: EntryNode, identifiers: Iterable[str]) -> list[str]:
    """Return those upstreams that have a limit."""
    if not node.ramps.ramps:
        return []
    return [
        identifier
        for identifier in identifiers
        if node.ramps.is_ramping(identifier)
    ]


def _settled_upstreams(node: EntryNode, service: str) -> list[RoutedUpstream]:
    return [
        upstream
        for upstream in node.registry.usable_upstreams(service)
        if not node.ramps.is_ramping(upstream.identifier)
    ]


def _steady_share(
    node: EntryNode, upstream: RoutedUpstream, margin: float, now_s: float
) -> float:
    loads = node.fleet_loads.totals(now_s)
    settled: list[int] = []
    ramping: list[int] = []
    for other in node.registry.usable_upstreams(upstream.service):
        running = loads.get(other.identifier, NO_LOAD).running
        if node.ramps.is_ramping(other.identifier):
            ramping.append(running)
        else:
            settled.append(running)
    slots = _slots_of(node, upstream)
    return steady_share(settled, ramping, slots, margin)


def _slots_of(node: EntryNode, upstream: RoutedUpstream) -> int:
    table = node.in_force.table
    service = None if table is None else table.services.get(upstream.service)
    if service is None:
        return upstream.slots
    return min(service.traits.slots, upstream.slots)


def _log_change(
    node: EntryNode, change: RampChange, reason: str, origin: str
) -> None:
    node.log.info(
        "upstream ramp changed",
        upstream=change.identifier,
        change=change.kind.value,
        limit=_shown(change.limit),
        reason=reason,
        origin=origin,
    )
    update_gauge(node)


def _shown(limit: float) -> float | None:
    """Return a limit as log lines have it; None stands for no limit."""
    return None if math.isinf(limit) else round(limit, 2)
