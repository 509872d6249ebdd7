"""Maps the platform's header names to the product's dialect."""

from plantainsail.entry.dialect import Dialect

PLATFORM_DIALECT = Dialect(
    request_id=b"x-attempt-id",
    deadline_ms=b"x-deadline-ms",
    organisation=b"x-tenant",
    expected_upstream=b"x-expected-replica",
    not_executed=b"x-not-executed",
    signature=b"x-response-signature",
    rate_limit=b"server-limit",
    leaving=b"server-leaving",
    tokens=b"x-token-usage",
    prompt_parts=b"x-prompt-prefix",
    length_hint=b"x-length-hint",
    continue_from=b"kv-from",
    copy_to=b"x-kv-backup",
    urgency=b"x-request-priority",
    last_event_id=b"last-event-id",
    cold_ms=b"x-cold-start-ms",
    key_scheme=b"token",
    other_internal=frozenset(
        {b"x-hold", b"x-pin-ms", b"x-expected-version", b"kv-fetch"}
    ),
)
