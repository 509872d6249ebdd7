"""Failures that executors and witnesses return for tickets."""

from plantainsail.results import Code, Failure, Outcome, outcome_of


def with_not_run_outcome(failure: Failure) -> Failure:
    """Return a failure with the outcome "not run", whatever its code.

    This is valid only for a ticket that its executor has burned.
    """
    if outcome_of(failure) is Outcome.NOT_RUN:
        return failure
    return failure._replace(outcome=Outcome.NOT_RUN)


def burned(reason: str) -> Failure:
    """Return the failure for a ticket that can no longer run."""
    return Failure(Code.TICKET_BURNED, f"the ticket never ran: {reason}")


def mismatch() -> Failure:
    """Return the failure for a ticket first used for another call."""
    return Failure(
        Code.TICKET_MISMATCH,
        "the ticket was used with another operation or body",
    )


def expired() -> Failure:
    """Return the failure for a ticket older than the retention time.

    The ticket's record may have been dropped.
    """
    return Failure(
        Code.TICKET_EXPIRED, "the ticket is older than the retention"
    )


def book_full() -> Failure:
    """Return the failure for a ticket that a full book has burned."""
    return Failure(
        Code.QUEUE_FULL,
        "too many tickets are on record; this one was burned",
        retry_after_s=60.0,
    )


def answer_lost(reason: str = "its answer was not kept") -> Failure:
    """Return the failure for a call whose answer was not kept."""
    return Failure(Code.TICKET_ANSWER_LOST, f"the call ran; {reason}")


def outcome_unknown() -> Failure:
    """Return the failure for a call that may or may not have run.

    The witness got no result of the call from its executor.
    """
    return Failure(
        Code.TICKET_OUTCOME_UNKNOWN,
        "the call was about to run when its executor was lost",
    )


def abandoned() -> Failure:
    """Return the failure for a call that the executor did not send."""
    return Failure(
        Code.TICKET_ABANDONED, "the executor gave the call up unsent"
    )


def intent_not_recorded(detail: str) -> Failure:
    """Return the failure for an intent that no witness recorded.

    Without a recorded intent the executor does not send the call.
    """
    return Failure(
        Code.WITNESS_UNREACHABLE, f"no intent was recorded: {detail}"
    )


def not_the_witness() -> Failure:
    """Return the failure of a daemon that is not a ticket's witness.

    The ticket does not name this daemon's incarnation as its witness.
    """
    return Failure(
        Code.TICKET_OUTCOME_UNKNOWN,
        "this daemon is not the ticket's witness",
    )


def still_running() -> Failure:
    """Return the failure for a call that is still running."""
    return Failure(
        Code.TICKET_RUNNING, "the call is still running", retry_after_s=1.0
    )
