"""Checked decoding of JSON values into `NamedTuple` types.

Settings, lists and request bodies are declared as `NamedTuple` classes
and decoded here.  A wrong type, a missing field and an unknown key are
therefore always reported in the same form, with the path of the value:

    class Point(NamedTuple):
        x: int
        y: int = 0

    decode_record(Point, {"x": 1}, "$")      # Ok(Point(x=1, y=0))
    decode_record(Point, {"x": "a"}, "$")    # Error at $.x
"""

import math
import types
from collections.abc import Mapping
from enum import StrEnum
from functools import cache
from typing import Any, NamedTuple, TypeVar, Union, get_args, get_origin
from typing import get_type_hints as resolve_hints

from expression import Error, Ok, Result

T = TypeVar("T")

MAX_INTEGER = 2**53


class RecordError(NamedTuple):
    """The path of an invalid value, and what was expected and found."""

    path: str
    expected: str
    found: str

    def __str__(self) -> str:
        """Return the error as one human-readable line."""
        return f"{self.path}: expected {self.expected}, found {self.found}"


class _MismatchError(Exception):
    """Carries a `RecordError` out of the recursive decoding."""

    def __init__(self, error: RecordError) -> None:
        super().__init__(str(error))
        self.error = error


def decode_record(
    record_type: type[T],
    value: object,
    path: str,
    *,
    allow_unknown: bool = False,
) -> Result[T, RecordError]:
    """Return the decoded record, or the first error in the value.

    With `allow_unknown`, undeclared keys are ignored, so that a reader
    accepts data written in a newer format.
    """
    try:
        record: T = _decode(record_type, value, path, allow_unknown)
    except _MismatchError as mismatch:
        return Error(mismatch.error)
    return Ok(record)


def _describe_value(value: object) -> str:
    if value is None:
        return "null"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "an array"
    if isinstance(value, str):
        return f"the string {value[:40]!r}"
    return f"the number {value!r}"[:60]


def _mismatch(path: str, expected: str, value: object) -> _MismatchError:
    return _MismatchError(RecordError(path, expected, _describe_value(value)))


def _decode(
    type_hint: Any, value: object, path: str, allow_unknown: bool
) -> Any:
    origin = get_origin(type_hint)
    if origin is Union or origin is types.UnionType:
        return _decode_union(type_hint, value, path, allow_unknown)
    if origin is tuple:
        return _decode_array(type_hint, value, path, allow_unknown)
    if origin in (dict, Mapping):
        return _decode_mapping(type_hint, value, path, allow_unknown)
    if hasattr(type_hint, "_fields"):
        return _decode_fields(type_hint, value, path, allow_unknown)
    if issubclass(type_hint, StrEnum):
        return _decode_enum(type_hint, value, path)
    return _decode_scalar(type_hint, value, path)


def _decode_union(
    type_hint: Any, value: object, path: str, allow_unknown: bool
) -> Any:
    """Decode with the member type that matches the JSON type.

    Only arrays are told apart from other values.
    """
    members = [arg for arg in get_args(type_hint) if arg is not type(None)]
    if value is None and len(members) < len(get_args(type_hint)):
        return None
    for member in members:
        is_array = get_origin(member) is tuple
        if is_array == isinstance(value, list):
            return _decode(member, value, path, allow_unknown)
    return _decode(members[0], value, path, allow_unknown)


def _decode_array(
    type_hint: Any, value: object, path: str, allow_unknown: bool
) -> Any:
    if not isinstance(value, list):
        raise _mismatch(path, "an array", value)
    item_type = get_args(type_hint)[0]
    return tuple(
        _decode(item_type, item, f"{path}[{index}]", allow_unknown)
        for index, item in enumerate(value)
    )


def _decode_mapping(
    type_hint: Any, value: object, path: str, allow_unknown: bool
) -> Any:
    if not isinstance(value, dict):
        raise _mismatch(path, "an object", value)
    item_type = get_args(type_hint)[1]
    return {
        key: _decode(item_type, item, f"{path}.{key}", allow_unknown)
        for key, item in value.items()
    }


@cache
def _field_types(record_type: Any) -> dict[str, Any]:
    return resolve_hints(record_type)


def _decode_fields(
    record_type: Any, value: object, path: str, allow_unknown: bool
) -> Any:
    if not isinstance(value, dict):
        raise _mismatch(path, "an object", value)
    hints = _field_types(record_type)
    if not allow_unknown:
        _reject_unknown_keys(record_type, value, path)
    fields: dict[str, Any] = {}
    for name in record_type._fields:
        if name in value:
            fields[name] = _decode(
                hints[name], value[name], f"{path}.{name}", allow_unknown
            )
            continue
        if name not in record_type._field_defaults:
            raise _MismatchError(
                RecordError(f"{path}.{name}", "a value", "nothing")
            )
    return record_type(**fields)


def _reject_unknown_keys(
    record_type: Any, value: dict[Any, object], path: str
) -> None:
    for key in value:
        if key not in record_type._fields:
            declared = ", ".join(record_type._fields)
            raise _MismatchError(
                RecordError(
                    f"{path}.{key}",
                    f"one of the keys {declared}",
                    "another key",
                )
            )


def _decode_enum(
    type_hint: type[StrEnum], value: object, path: str
) -> StrEnum:
    for member in type_hint:
        if member.value == value:
            return member
    raise _mismatch(path, "one of " + ", ".join(type_hint), value)


def _decode_scalar(type_hint: type, value: object, path: str) -> Any:
    if type_hint is bool:
        if isinstance(value, bool):
            return value
        raise _mismatch(path, "true or false", value)
    if type_hint is str:
        if isinstance(value, str):
            return value
        raise _mismatch(path, "a string", value)
    if isinstance(value, bool):
        raise _mismatch(path, "a number", value)
    if type_hint is int:
        return _decode_integer(value, path)
    if type_hint is float:
        if isinstance(value, int | float) and math.isfinite(value):
            return float(value)
        raise _mismatch(path, "a number", value)
    raise TypeError(f"no rule to decode {type_hint!r}")


def _decode_integer(value: object, path: str) -> int:
    if not isinstance(value, int):
        raise _mismatch(path, "an integer", value)
    if abs(value) > MAX_INTEGER:
        raise _mismatch(path, "an integer of at most 53 bits", value)
    return value
