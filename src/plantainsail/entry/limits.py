"""Reads the rate limits that upstreams name, and tells peers of them.

`routing.rate_limits` decides when a limited upstream may get a request.
"""

from plantainsail.entry.dialect import parse_decimal
from plantainsail.entry.node import EntryNode
from plantainsail.routing.messages import LimitEntry, RateLimitReport
from plantainsail.routing.rate_limits import (
    NamedLimit,
    PeerReport,
    SentCount,
)
from plantainsail.upstreams.single_use import AnswerHead

MAX_LIMITS_PER_MESSAGE = 24
MAX_LOGGED_BYTES = 32


def note_sent(node: EntryNode, identifier: str) -> None:
    """Count a request that is sent to an upstream."""
    node.rate_limits.note_sent(identifier, node.now_s())
    if node.rate_limits.unsent:
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
