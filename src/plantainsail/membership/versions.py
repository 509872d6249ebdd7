"""Compatibility of versions of the peer protocol.

During a roll-out, daemons of two successive versions run at once and
must work together: a daemon ignores unknown fields, and does not rely
on a field that the newer version added.
"""

# The version of the peer protocol that this code speaks.
PROTOCOL_VERSION = 1


def is_compatible(version: int, own: int = PROTOCOL_VERSION) -> bool:
    """Return whether a daemon of version `own` can talk to a peer.

    `version` is the protocol version of that peer.
    """
    return version > 0 and abs(version - own) <= 1
