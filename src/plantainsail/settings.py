"""The daemon's settings file: JSON with comments, and its checks.

A syntax error is reported with its line, an invalid value with the
path of its key and the expected value.  An address consists of an IP
number and a port, because the daemon resolves no host names.

    {
        // Peers connect to peer_address.
        "host": "entry-1",
        "availability_zone": "wa-south-1a",
        "caller_address": "10.0.0.1:8080",
        "operator_address": "127.0.0.1:8081",
        "peer_address": "10.0.0.1:8090",
        "configuration_url": "http://10.0.9.1:8500",
        "fleet_keys": ["2f6c…"],
    }
"""

import ipaddress
import re
from pathlib import Path
from typing import NamedTuple, TypeVar
from urllib.parse import urlsplit

import pyjson5
from expression import Error, Ok, Result

from plantainsail.logs import LEVELS
from plantainsail.records import RecordError, decode_record

T = TypeVar("T")

MIN_FLEET_KEY_HEX_DIGITS = 32
MAX_PORT = 65535


class Limits(NamedTuple):
    """Limits on message sizes, queues and open streams of a daemon."""

    body_bytes: int = 1_000_000
    header_bytes: int = 16_384
    answer_bytes: int = 8_000_000
    waiting_requests: int = 2_000
    waiting_bytes: int = 64_000_000
    streams: int = 4_000


class TimeLimits(NamedTuple):
    """Time limits in seconds."""

    body_s: float = 10.0
    request_s: float = 600.0
    connect_s: float = 2.0
    silence_s: float = 5.0
    service_s: float = 20.0
    caller_grace_s: float = 15.0
    drain_s: float = 900.0
    settle_s: float = 5.0
    ticket_retention_s: float = 3_600.0
    lists_stale_s: float = 86_400.0
    lists_cut_off_s: float = 7.0


class OrderSettings(NamedTuple):
    """Whether and how often the daemon sends orders to engines.

    The store of model weights can serve at most `loads` loads of the
    whole fleet in any `window_s` seconds.  All daemons must have the
    same values.
    """

    is_enabled: bool = False
    loads: int = 6
    window_s: float = 60.0
    dwell_s: float = 300.0
    stable_s: float = 30.0


class TlsFiles(NamedTuple):
    """Paths of the PEM files for mutual TLS between daemons."""

    certificate: str
    private_key: str
    authority: str


class Settings(NamedTuple):
    """All settings of one daemon.

    `fleet_keys` are in hexadecimal: the first one signs, all of them
    verify.  `seed` makes the random numbers repeatable in tests.
    `expected_daemons` is how many daemons may start at the same time.
    Until a daemon knows the real number, it uses the configuration
    service at no more than its share of that service's rate, so a
    large value makes the start slower.
    """

    host: str
    availability_zone: str
    caller_address: str
    operator_address: str
    peer_address: str
    configuration_url: str
    fleet_keys: tuple[str, ...]
    seed: int | None = None
    expected_daemons: int = 540
    log_level: str = "info"
    limits: Limits = Limits()
    time_limits: TimeLimits = TimeLimits()
    peer_tls: TlsFiles | None = None
    orders: OrderSettings = OrderSettings()


class SettingsError(NamedTuple):
    """Why a settings file is invalid, and at which place in it."""

    file: str
    location: str
    problem: str

    def __str__(self) -> str:
        """Return the error as one human-readable line."""
        return f"{self.file}: {self.location}: {self.problem}"


def load_settings(file: Path) -> Result[Settings, SettingsError]:
    """Return the checked settings from a file."""
    return read_text(file).bind(lambda text: parse_settings(text, str(file)))


def parse_settings(text: str, file: str) -> Result[Settings, SettingsError]:
    """Return the checked settings from the text of a file."""
    record = parse_record(Settings, text, file)
    if record.is_error():
        return record
    problem = _find_problem(record.ok)
    if problem is not None:
        return Error(_to_settings_error(file, problem))
    return record


def read_text(file: Path) -> Result[str, SettingsError]:
    """Return the text of a settings file."""
    try:
        return Ok(file.read_text(encoding="utf-8"))
    except OSError as error:
        return Error(
            SettingsError(str(file), "file", error.strerror or str(error))
        )
    except UnicodeDecodeError:
        return Error(SettingsError(str(file), "file", "not UTF-8 text"))


def parse_record(
    record_type: type[T], text: str, file: str
) -> Result[T, SettingsError]:
    """Decode the text of a settings file into a record.

    Types and keys are checked here, the ranges of values are not.
    """
    try:
        value = pyjson5.decode(text)
    except pyjson5.Json5DecoderException as error:
        return Error(
            SettingsError(
                file, _find_line(error, text), _describe_syntax_error(error)
            )
        )
    except RecursionError:
        return Error(SettingsError(file, "line 1", "nested too deeply"))
    record = decode_record(record_type, value, "$")
    if record.is_error():
        return Error(_to_settings_error(file, record.error))
    return Ok(record.ok)


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and the port of a valid address."""
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)


def _to_settings_error(file: str, error: RecordError) -> SettingsError:
    return SettingsError(
        file, error.path, f"expected {error.expected}, found {error.found}"
    )


def _describe_syntax_error(error: Exception) -> str:
    return f"not valid JSON with comments ({type(error).__name__})"


def _find_line(error: Exception, text: str) -> str:
    match = re.search(r"near (\d+)", str(error))
    if match is None:
        return f"line {text.count(chr(10)) + 1}"
    before = text[: int(match.group(1))]
    return f"line {before.count(chr(10)) + 1}"


def is_address(address: str) -> bool:
    """Return whether a text is an IP number followed by a port."""
    ip, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= len("65535")):
        return False
    if int(port) > MAX_PORT:
        return False
    try:
        ipaddress.ip_address(ip.strip("[]"))
    except ValueError:
        return False
    return True


def is_ip_url(url: str) -> bool:
    """Return whether a URL is HTTP or HTTPS with an IP and a port."""
    try:
        parts = urlsplit(url)
        if parts.scheme not in ("http", "https") or parts.port is None:
            return False
        ipaddress.ip_address(parts.hostname or "")
    except ValueError:
        return False
    return True


def _is_fleet_key(key: str) -> bool:
    pattern = rf"(?:[0-9a-f]{{2}}){{{MIN_FLEET_KEY_HEX_DIGITS // 2},}}"
    return re.fullmatch(pattern, key) is not None


def _find_problem(settings: Settings) -> RecordError | None:
    for name in ("caller_address", "operator_address", "peer_address"):
        address = getattr(settings, name)
        if not is_address(address):
            return RecordError(
                f"$.{name}", "an IP number and a port", repr(address)
            )
    if not is_ip_url(settings.configuration_url):
        return RecordError(
            "$.configuration_url",
            "an HTTP URL with an IP number and a port",
            repr(settings.configuration_url),
        )
    if settings.log_level not in LEVELS:
        return RecordError(
            "$.log_level",
            "one of " + ", ".join(LEVELS),
            repr(settings.log_level),
        )
    return _find_key_problem(settings) or _find_bound_problem(settings)


def _find_key_problem(settings: Settings) -> RecordError | None:
    if not settings.fleet_keys:
        return RecordError("$.fleet_keys", "at least one key", "none")
    for index, key in enumerate(settings.fleet_keys):
        if not _is_fleet_key(key):
            return RecordError(
                f"$.fleet_keys[{index}]",
                f"at least {MIN_FLEET_KEY_HEX_DIGITS} hexadecimal digits",
                "another value",
            )
    return None


def _order_bounds(orders: OrderSettings) -> dict[str, float]:
    return {
        name: bound
        for name, bound in orders._asdict().items()
        if name != "is_enabled"
    }


def _find_bound_problem(settings: Settings) -> RecordError | None:
    if settings.expected_daemons < 1:
        return RecordError(
            "$.expected_daemons",
            "a positive number",
            repr(settings.expected_daemons),
        )
    sections = (
        ("limits", settings.limits._asdict()),
        ("time_limits", settings.time_limits._asdict()),
        ("orders", _order_bounds(settings.orders)),
    )
    for section, bounds in sections:
        for name, bound in bounds.items():
            if bound <= 0:
                return RecordError(
                    f"$.{section}.{name}", "a positive number", repr(bound)
                )
    return None
