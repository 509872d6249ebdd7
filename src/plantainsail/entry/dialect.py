"""The header names that an installation speaks on routed requests.

The product has names of its own; an adapter brings those of its
platform.  All names are in lower case.
"""

from typing import NamedTuple


class Dialect(NamedTuple):
    """The headers of routed requests and their answers.

    `internal` are headers that only daemons may set; a caller's are
    dropped.  `signature` marks the answers of upstreams.
    """

    request_id: bytes = b"plantainsail-request-id"
    deadline_ms: bytes = b"plantainsail-deadline-ms"
    organisation: bytes = b"plantainsail-organisation"
    expected_upstream: bytes = b"plantainsail-expected-upstream"
    not_executed: bytes = b"plantainsail-not-executed"
    signature: bytes = b"plantainsail-signature"
    tokens: bytes = b"plantainsail-tokens"
    length_hint: bytes = b"plantainsail-length-hint"
    continue_from: bytes = b"plantainsail-continue-from"
    copy_to: bytes = b"plantainsail-copy-to"
    urgency: bytes = b"plantainsail-urgency"
    last_event_id: bytes = b"last-event-id"
    key_scheme: bytes = b"bearer"
    other_internal: frozenset[bytes] = frozenset()

    @property
    def internal(self) -> frozenset[bytes]:
        """Return the headers that a caller can't set."""
        return self.other_internal | {
            self.organisation,
            self.expected_upstream,
            self.continue_from,
            self.copy_to,
            self.urgency,
        }


class TokenCounts(NamedTuple):
    """Prompt tokens, and output tokens at most, of a generation."""

    prompt: int
    output_limit: int


DEFAULT_TOKEN_COUNTS = TokenCounts(1, 1)


def parse_token_counts(value: bytes | None) -> TokenCounts:
    """Read `PROMPT,OUTPUT`; a small request where it is unreadable."""
    prompt, _, output = (value or b"").partition(b",")
    if not (prompt.strip().isdigit() and output.strip().isdigit()):
        return DEFAULT_TOKEN_COUNTS
    return TokenCounts(int(prompt), int(output))


def parse_decimal(value: bytes | None) -> float | None:
    """Read a plain decimal number, None where there is none."""
    text = (value or b"").strip()
    if not text.replace(b".", b"", 1).isdigit():
        return None
    return float(text)
