"""Orders revisions of a service that may be restored from a copy.

A service that comes back from an older copy has lost its last changes,
and gives their revisions out again.  Each restoration begins a new
epoch.  Here a revision is one number that contains both, so revisions
of different epochs compare as their changes follow one another:

    make_revision(1, 520) < make_revision(2, 490)
"""

# The count of changes takes the lower bits, the epoch those above.
COUNT_BITS = 40
COUNT_MASK = (1 << COUNT_BITS) - 1


def make_revision(epoch: int, count: int) -> int:
    """Return the revision after so many changes in an epoch."""
    return (epoch << COUNT_BITS) | count


def epoch_of(revision: int) -> int:
    """Return the epoch of a revision; it is -1 before the first."""
    return revision >> COUNT_BITS


def count_of(revision: int) -> int:
    """Return the service's own count of changes."""
    return revision & COUNT_MASK


def is_restored(before: int, after: int) -> bool:
    """Return whether the service was restored between two revisions."""
    return before >= 0 and epoch_of(after) > epoch_of(before)
