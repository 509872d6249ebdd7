"""One streaming request, and what was tried for it."""

import asyncio
from typing import NamedTuple

from plantainsail.entry.caller_stream import CallerStream
from plantainsail.entry.dialect import parse_decimal, parse_token_counts
from plantainsail.entry.node import EntryNode
from plantainsail.entry.request import RoutedRequest
from plantainsail.routing.model import RoutedUpstream, Service
from plantainsail.routing.placement import (
    GenerationNeed,
    max_request_tokens,
)
from plantainsail.routing.run_ends import OrderedRun
from plantainsail.routing.urgency import Claim, make_claim
from plantainsail.upstreams.single_use import AnswerHead

# The expected output as a share of the caller's hint, or else of the
# most that the request allows.
HINTED_OUTPUT_SHARE = 1.0
UNHINTED_OUTPUT_SHARE = 0.6


class ErrorAnswer(NamedTuple):
    """An upstream's complete answer that is no stream of events."""

    head: AnswerHead
    body: bytes


class RunResult(NamedTuple):
    """How the run of a request at one upstream ended.

    `is_answered` says that the caller has its whole answer, and
    `is_not_run` that the upstream surely didn't run the request.
    `reason` says why it is not answered, and `error` is the answer if
    that is an error of the upstream.  `death_check` finds out whether
    the upstream died.  `unended` are the runs that may still go on.
    """

    reason: str
    is_answered: bool = False
    is_not_run: bool = False
    is_out_of_time: bool = False
    error: ErrorAnswer | None = None
    death_check: "asyncio.Task[None] | None" = None
    unended: tuple[OrderedRun, ...] = ()


class StreamedRequest:
    """A streaming request with its need, its claim and its attempts.

    `parts` describe it in the quarantine.  `need` and `claim` are those
    of its next run.  `tried` are the upstreams that may have run it,
    and `not_run_attempts` counts those that surely didn't.
    `is_resuming` is set from a break of its stream until the outcome of
    the next run is known.  `last` is
    the last result of one that may have, and `upstream` its upstream.
    """

    def __init__(
        self,
        request: RoutedRequest,
        stream: CallerStream,
        need: GenerationNeed,
        parts: tuple[str, ...],
    ) -> None:
        self.request = request
        self.stream = stream
        self.parts = parts
        self.first_need = need
        self.need = need
        self.first_claim = _claim_of(request)
        self.claim = self.first_claim
        self.tried: frozenset[str] = frozenset()
        self.not_run_attempts = 0
        self.is_resuming = False
        self.last: RunResult | None = None
        self.upstream: RoutedUpstream | None = None


def _claim_of(request: RoutedRequest) -> Claim:
    route = request.route
    # On a caller's first attempt the remaining time is the route's
    # whole timeout; what is missing was spent on earlier attempts.
    remaining_s = request.deadline_s - request.arrived_s
    return make_claim(
        request.priority,
        request.arrived_s,
        route.objective_s,
        max(0.0, route.timeout_s - remaining_s),
        request.deadline_s,
    )


def estimate_need(request: RoutedRequest, node: EntryNode) -> GenerationNeed:
    """Return the engine memory that a request is expected to need.

    The need is cut to what one engine may give to one generation.
    """
    dialect = node.dialect
    counts = parse_token_counts(request.caller.get(dialect.tokens))
    hint = parse_decimal(request.caller.get(dialect.length_hint))
    if hint:
        output = min(float(counts.output_limit), hint * HINTED_OUTPUT_SHARE)
    else:
        output = counts.output_limit * UNHINTED_OUTPUT_SHARE
    return limit_need(
        request.service, counts.prompt, int(output), request.route.pause_s
    )


def limit_need(
    service: Service, prompt: int, output: int, pause_s: float
) -> GenerationNeed:
    """Return a need of tokens, cut to what one engine may give."""
    max_tokens = max_request_tokens(service.traits)
    prompt = min(prompt, max_tokens - 1)
    return GenerationNeed(
        prompt, max(1, min(output, max_tokens - prompt)), pause_s
    )
