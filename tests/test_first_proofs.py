"""A copy of the configuration service is no proof that a key is valid.

A daemon that starts, or was cut off, while the service comes back from
an older copy reads a configuration in which a key still stands that was
taken away.  Its peers know the newer one.
"""

import pytest

from plantainsail.routing.first_proofs import (
    ALL_HEARD_LIMIT_S,
    NONE_HEARD_LIMIT_S,
    FirstProofs,
    PeerVersions,
    ReadProof,
)

ASKED_S = 10.0
NO_PEERS = PeerVersions(live=0, heard=0, newest=-1)
ALL_HEARD = PeerVersions(live=3, heard=3, newest=4)


def proof(version: int, epoch: int, as_of_s: float = ASKED_S) -> ReadProof:
    return ReadProof(version, as_of_s, epoch)


@pytest.fixture
def proofs() -> FirstProofs:
    return FirstProofs()


def test_the_first_proof_of_an_epoch_waits_for_the_peers(
    proofs: FirstProofs,
) -> None:
    read = proof(4, epoch=1)
    assert not proofs.may_use(read)
    some_heard = ALL_HEARD._replace(heard=1)
    assert proofs.check(some_heard, ASKED_S + 0.01) is None
    assert proofs.check(ALL_HEARD, ASKED_S + 0.02) == read
    assert proofs.may_use(proof(4, epoch=1, as_of_s=11.0))
    assert not proofs.may_use(proof(4, epoch=2, as_of_s=12.0))


def test_a_copy_that_is_older_than_the_peers_is_no_proof(
    proofs: FirstProofs,
) -> None:
    assert not proofs.may_use(proof(3, epoch=2))
    assert proofs.check(ALL_HEARD, ASKED_S + 0.1) is None
    assert proofs.pending is None
    read = proof(5, epoch=2, as_of_s=11.0)
    assert not proofs.may_use(read)
    assert proofs.check(ALL_HEARD, 11.1) == read


def test_silent_peers_delay_the_first_proof_for_a_limited_time(
    proofs: FirstProofs,
) -> None:
    read = proof(4, epoch=1)
    assert not proofs.may_use(read)
    some_heard = ALL_HEARD._replace(heard=1)
    now_s = ASKED_S + ALL_HEARD_LIMIT_S
    assert proofs.check(some_heard, now_s - 0.01) is None
    assert proofs.check(some_heard, now_s) == read


def test_a_daemon_without_peers_gets_its_proof_after_a_while(
    proofs: FirstProofs,
) -> None:
    read = proof(4, epoch=1)
    assert not proofs.may_use(read)
    now_s = ASKED_S + NONE_HEARD_LIMIT_S
    assert proofs.check(NO_PEERS, now_s - 0.01) is None
    assert proofs.check(NO_PEERS, now_s) == read


def test_a_service_that_is_never_restored_needs_no_check(
    proofs: FirstProofs,
) -> None:
    """It names no epoch."""
    assert proofs.may_use(proof(4, epoch=0))
