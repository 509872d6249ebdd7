"""Logs where streams were placed, and how they ended."""

from plantainsail.entry.generation import Generation
from plantainsail.entry.node import EntryNode
from plantainsail.entry.streamed_request import RunResult, StreamedRequest
from plantainsail.routing.model import RoutedUpstream
from plantainsail.routing.placement import EngineChoice


def log_placement(
    node: EntryNode, generation: Generation, choice: EngineChoice
) -> None:
    """Log the engine that was chosen for a generation."""
    request = generation.request
    now_s = node.now_s()
    load = node.fleet_loads.load_of(choice.upstream.identifier, now_s)
    node.log.info(
        "generation placed",
        request=request.identifier,
        upstream=choice.upstream.identifier,
        waited_ms=int((now_s - request.arrived_s) * 1000),
        read_ms=int(choice.read_s * 1000),
        memory_tokens=load.memory_tokens,
        running=load.running,
        need=generation.need.memory_tokens,
        parts=generation.parts,
        configuration=request.configuration_version,
    )


def log_not_run(node: EntryNode, generation: Generation, reason: str) -> None:
    """Log that an engine surely did not run a request."""
    assert generation.upstream is not None
    upstream = generation.upstream.identifier
    node.log.info(
        "send failed",
        request=generation.request.identifier,
        upstream=upstream,
        reason=reason,
        detail="",
        outcome="not_run",
        suspect=node.registry.failures.get(upstream, 0),
    )


def log_interruption(
    node: EntryNode,
    work: StreamedRequest,
    result: RunResult,
    refusal: str | None,
) -> None:
    """Log a break of a resumable stream, and whether it goes on."""
    node.log.info(
        "stream interrupted",
        request=work.request.identifier,
        upstream=_name_of(work.upstream),
        reason=result.reason,
        events=work.stream.positions.count,
        refusal=refusal,
    )


def log_end(
    node: EntryNode,
    work: StreamedRequest,
    upstream: RoutedUpstream | None,
    outcome: str,
) -> None:
    """Count and log the end of a stream."""
    request = work.request
    stream = work.stream
    kind = request.route.kind.value
    result = "answered" if outcome == "whole" else "cut"
    node.metrics.requests.labels(kind, result).inc()
    first_s = stream.first_event_s - request.arrived_s
    has_begun = stream.has_begun
    if has_begun:
        node.metrics.latency.labels(kind).observe(first_s)
    node.log.info(
        "generation ended",
        request=request.identifier,
        outcome=outcome,
        upstream=_name_of(upstream),
        events=stream.positions.count,
        moves=stream.move_count,
        resumptions=stream.resumption_count,
        first_event_ms=int(first_s * 1000) if has_begun else None,
        longest_pause_ms=int(stream.longest_pause_s * 1000),
        after_ms=int((node.now_s() - request.arrived_s) * 1000),
    )


def _name_of(upstream: RoutedUpstream | None) -> str | None:
    return None if upstream is None else upstream.identifier
