"""Shortens records before they are sent to peers.

A decoder refuses a record that has more fields than its build knows.
New fields therefore stand last and have defaults, and fields at their
defaults are left out at the end.  Builds of different age understand
each other for as long as nothing new is in use.
"""

from typing import Any


def compact(value: Any) -> Any:
    """Return a value whose records lack trailing default fields.

    Records are named tuples; they become plain tuples, also those in
    tuples and in other records.
    """
    if not isinstance(value, tuple):
        return value
    items = [compact(item) for item in value]
    names: tuple[str, ...] = getattr(value, "_fields", ())
    defaults: dict[str, Any] = getattr(value, "_field_defaults", {})
    for name in reversed(names):
        item = getattr(value, name)
        if name not in defaults or item != defaults[name]:
            break
        items.pop()
    return tuple(items)
