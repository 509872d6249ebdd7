"""Reads what upstreams say of their limits, and tells peers of it.

`routing.rate_limits` decides when an upstream that names a rate limit
may get a request, and `routing.cold_limits` when a cold one may.
"""

from plantainsail.entry.cold_upstreams import WholeReport
from plantainsail.entry.dialect import parse_decimal
from plantainsail.entry.node import EntryNode
from plantainsail.routing.cold_limits import ColdReport, ColdTime
from plantainsail.routing.messages import (
    ColdEntry,
    ColdUpstreamReport,
    LimitEntry,
    RateLimitReport,
)
from plantainsail.routing.model import RoutedUpstream
from plantainsail.routing.rate_limits import NamedLimit, PeerReport
from plantainsail.routing.token_bucket import PeerCopy, SentCount
from plantainsail.upstreams.single_use import AnswerHead

MAX_LIMITS_PER_MESSAGE = 24
MAX_COLD_PER_MESSAGE = 24
# More than one message holds, so that a sample is not taken for all.
MAX_REPEATED_COLD = 2 * MAX_COLD_PER_MESSAGE
MAX_LOGGED_BYTES = 32
# No upstream is believed that names a longer time.
MAX_COLD_MS = 3_600_000
MS_PER_S = 1000


def note_sent(node: EntryNode, identifier: str) -> None:
    """Count a request that is sent to an upstream."""
    now_s = node.now_s()
    node.rate_limits.note_sent(identifier, now_s)
    node.cold.note_sent(identifier, now_s)
    if node.rate_limits.unsent or node.cold.limits.unsent:
        node.announcements_pending.set()


def note_answer(node: EntryNode, identifier: str, head: AnswerHead) -> None:
    """Take over the limit that an upstream names in an answer.

    An answer without the upstream's signature lifts no limit, since
    something on the way may have made it.
    """
    value = head.get(node.dialect.rate_limit)
    if value is None and head.get(node.dialect.signature) is None:
        return
    per_s = parse_decimal(value)
    if value is not None and per_s is None:
        node.log.info(
            "upstream limit unreadable",
            upstream=identifier,
            value=value[:MAX_LOGGED_BYTES].decode("latin-1"),
        )
        return
    now_s = node.now_s()
    if not node.rate_limits.note_answer(identifier, per_s, now_s):
        return
    _log_change(node, identifier, per_s, "own")
    node.announcements_pending.set()


def note_cold_answer(
    node: EntryNode, upstream: RoutedUpstream, head: AnswerHead
) -> None:
    """Take over for how long an upstream says that it stays cold.

    An answer without the upstream's signature shortens no cold time,
    since something on the way may have made it.
    """
    value = head.get(node.dialect.cold_ms)
    if value is None or head.get(node.dialect.signature) is None:
        return
    cold_ms = parse_decimal(value)
    if cold_ms is None or cold_ms > MAX_COLD_MS:
        node.log.info(
            "upstream cold time unreadable",
            upstream=upstream.identifier,
            value=value[:MAX_LOGGED_BYTES].decode("latin-1"),
        )
        return
    if node.cold.note_answer(upstream, cold_ms, node.now_s()):
        node.announcements_pending.set()
        node.update_gauges()


def make_reports(
    node: EntryNode, identifiers: list[str], *, is_news: bool
) -> list[RateLimitReport]:
    """Return messages on some upstreams, of limited size."""
    entries = [_entry_of(node, identifier) for identifier in identifiers]
    reports: list[RateLimitReport] = []
    for start in range(0, len(entries), MAX_LIMITS_PER_MESSAGE):
        reports.append(
            RateLimitReport(
                node.settings.peer_address,
                node.nonce,
                is_news,
                tuple(entries[start : start + MAX_LIMITS_PER_MESSAGE]),
            )
        )
    return reports


def apply_report(node: EntryNode, report: RateLimitReport) -> None:
    """Merge what a peer knows of limits and has sent."""
    now_s = node.now_s()
    for entry in report.limits:
        peer_report = PeerReport(
            entry.identifier,
            NamedLimit(entry.per_s, now_s - entry.age_ms / 1000),
            report.address,
            SentCount(report.nonce, entry.sent, report.is_news),
            entry.tokens,
        )
        if node.rate_limits.merge(peer_report, now_s):
            _log_change(node, entry.identifier, entry.per_s, report.address)


def cold_to_repeat(node: EntryNode) -> list[str]:
    """Return the cold upstreams to repeat, or some of them if many."""
    cold = node.cold.limits.cold(node.now_s())
    if len(cold) <= MAX_REPEATED_COLD:
        return cold
    return node.random.sample(cold, MAX_REPEATED_COLD)


def make_cold_reports(
    node: EntryNode, identifiers: list[str], *, is_news: bool
) -> list[ColdUpstreamReport]:
    """Return messages on cold upstreams, of limited size.

    What is repeated is sent even without a cold upstream, so that a
    daemon that has just started learns that none is cold.
    """
    now_s = node.now_s()
    if is_news and not identifiers:
        return []
    if not node.cold.has_budgets():
        return []
    entries = [_cold_entry_of(node, name, now_s) for name in identifiers]
    is_whole = not is_news and len(entries) <= MAX_COLD_PER_MESSAGE
    reports: list[ColdUpstreamReport] = []
    for start in range(0, max(1, len(entries)), MAX_COLD_PER_MESSAGE):
        reports.append(
            ColdUpstreamReport(
                node.settings.peer_address,
                node.nonce,
                is_news,
                is_whole,
                int(node.cold.followed_s(now_s) * MS_PER_S),
                node.members.largest,
                tuple(entries[start : start + MAX_COLD_PER_MESSAGE]),
            )
        )
    return reports


def apply_cold_report(node: EntryNode, report: ColdUpstreamReport) -> None:
    """Merge what a peer knows of cold upstreams and has sent."""
    now_s = node.now_s()
    node.cold.note_fleet(report.daemons)
    for entry in report.upstreams:
        cold_report = ColdReport(
            _cold_time_of(entry, now_s),
            PeerCopy(
                report.address,
                SentCount(report.nonce, entry.sent, report.is_news),
                entry.tokens,
            ),
        )
        node.cold.apply_report(
            entry.identifier, entry.born_ms, cold_report, now_s
        )
    member = node.members.members.get(report.address)
    if not report.is_whole or member is None:
        return
    whole = WholeReport(
        frozenset(entry.identifier for entry in report.upstreams),
        report.followed_ms / MS_PER_S,
        member.registry_revision,
        now_s,
    )
    node.cold.lift_provisional(whole)


def _cold_time_of(entry: ColdEntry, now_s: float) -> ColdTime:
    answered_s = None
    if entry.answered_age_ms >= 0:
        age_ms = min(MAX_COLD_MS, entry.answered_age_ms)
        answered_s = now_s - age_ms / MS_PER_S
    left_ms = max(0, min(MAX_COLD_MS, entry.left_ms))
    return ColdTime(
        now_s + left_ms / MS_PER_S, answered_s, entry.is_provisional
    )


def _cold_entry_of(
    node: EntryNode, identifier: str, now_s: float
) -> ColdEntry:
    cold = node.cold.limits.upstreams[identifier]
    answered_age_ms = -1
    if cold.time.answered_s is not None:
        answered_age_ms = int((now_s - cold.time.answered_s) * MS_PER_S)
    return ColdEntry(
        identifier,
        cold.born_ms,
        max(0, int((cold.time.until_s - now_s) * MS_PER_S)),
        answered_age_ms,
        cold.time.is_provisional,
        cold.requests.own,
        node.cold.tokens(identifier, now_s),
    )


def _entry_of(node: EntryNode, identifier: str) -> LimitEntry:
    now_s = node.now_s()
    limited = node.rate_limits.upstreams[identifier]
    return LimitEntry(
        identifier,
        limited.limit.per_s,
        int((now_s - limited.limit.named_s) * 1000),
        limited.sent,
        node.rate_limits.tokens(identifier, now_s),
    )


def _log_change(
    node: EntryNode, identifier: str, per_s: float | None, origin: str
) -> None:
    node.log.info(
        "upstream limit changed",
        upstream=identifier,
        limit=per_s,
        origin=origin,
    )
    node.update_gauges()
