"""Names of the headers of routed requests and their answers.

The defaults are this product's names; an adapter for a platform
replaces them with the platform's.  All names are in lower case.
"""

from typing import NamedTuple

MAX_PROMPT_PARTS = 64
MAX_PART_NAME_BYTES = 64
MAX_COUNT_DIGITS = 9
# A longer number may be infinite.
MAX_DECIMAL_BYTES = 64


class Dialect(NamedTuple):
    """The header names of one installation.

    Upstreams put `signature` on their answers, so that an answer
    without it can be recognised as foreign.  `rate_limit` in an answer
    is how many requests a second its upstream takes from all daemons
    together, and `leaving` with the value 1 says that its upstream
    leaves.  `retry_after` in a refusal is how many seconds its upstream
    wants no further request.  `cold_ms` is for how many milliseconds
    its upstream stays cold.  `other_internal` are further headers that
    callers may not set.
    """

    request_id: bytes = b"plantainsail-request-id"
    deadline_ms: bytes = b"plantainsail-deadline-ms"
    organisation: bytes = b"plantainsail-organisation"
    expected_upstream: bytes = b"plantainsail-expected-upstream"
    not_executed: bytes = b"plantainsail-not-executed"
    signature: bytes = b"plantainsail-signature"
    rate_limit: bytes = b"plantainsail-rate-limit"
    leaving: bytes = b"plantainsail-leaving"
    retry_after: bytes = b"retry-after"
    tokens: bytes = b"plantainsail-tokens"
    prompt_parts: bytes = b"plantainsail-prompt-parts"
    length_hint: bytes = b"plantainsail-length-hint"
    continue_from: bytes = b"plantainsail-continue-from"
    copy_to: bytes = b"plantainsail-copy-to"
    urgency: bytes = b"plantainsail-urgency"
    last_event_id: bytes = b"last-event-id"
    cold_ms: bytes = b"plantainsail-cold-ms"
    key_scheme: bytes = b"bearer"
    other_internal: frozenset[bytes] = frozenset()

    @property
    def internal(self) -> frozenset[bytes]:
        """Return the headers that only daemons may set.

        They are dropped from callers' requests.
        """
        return self.other_internal | {
            self.organisation,
            self.expected_upstream,
            self.continue_from,
            self.copy_to,
            self.urgency,
        }


class TokenCounts(NamedTuple):
    """The prompt tokens and the most output tokens of a generation."""

    prompt: int
    output_limit: int


DEFAULT_TOKEN_COUNTS = TokenCounts(1, 1)


def parse_token_counts(value: bytes | None) -> TokenCounts:
    """Parse `PROMPT,OUTPUT`.

    A missing or malformed value gives the counts of a small request.
    """
    prompt, _, output = (value or b"").partition(b",")
    counts = (prompt.strip(), output.strip())
    for count in counts:
        if not count.isdigit() or len(count) > MAX_COUNT_DIGITS:
            return DEFAULT_TOKEN_COUNTS
    return TokenCounts(int(counts[0]), int(counts[1]))


def parse_prompt_parts(value: bytes | None) -> tuple[str, ...]:
    """Parse `NAME:TOKENS,NAME:TOKENS,…` into the names of shared parts.

    The last part belongs to the request or its session alone and is
    left out, as are names over `MAX_PART_NAME_BYTES` and parts beyond
    the first `MAX_PROMPT_PARTS`.
    """
    parts: list[str] = []
    for entry in (value or b"").split(b",")[:-1][:MAX_PROMPT_PARTS]:
        name = entry.partition(b":")[0].strip()
        if not name or len(name) > MAX_PART_NAME_BYTES:
            continue
        parts.append(name.decode("latin-1").lower())
    return tuple(parts)


def parse_decimal(value: bytes | None) -> float | None:
    """Parse a number without sign or exponent.

    A malformed one, or one with too many digits, gives None.
    """
    text = (value or b"").strip()
    if len(text) > MAX_DECIMAL_BYTES:
        return None
    if not text.replace(b".", b"", 1).isdigit():
        return None
    return float(text)
