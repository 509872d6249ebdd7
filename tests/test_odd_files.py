"""Settings files and published files that can't be read.

They are read again and again while a daemon runs, so each fault of
theirs must be an error of the reader and not end its task.
"""

from pathlib import Path

import pytest

from plantainsail.entry.file_source import FileSource
from plantainsail.entry.settings import load_entry_settings
from plantainsail.entry.source import SourceError
from plantainsail.platform.settings import load_platform_settings

DEEP = b"[" * 2_000


@pytest.mark.parametrize(
    "text",
    [DEEP.decode(), "a = " + "[" * 5_000, "a = " + "1" * 5_000, "IpAddress=7"],
)
def test_odd_settings_file_is_an_error(tmp_path: Path, text: str) -> None:
    """The task that reads it again ended each time."""
    file = tmp_path / "settings.toml"
    file.write_text(text)
    assert load_platform_settings(file).is_error()
    assert load_entry_settings(file).is_error()


async def test_odd_published_file_is_an_error_of_its_source(
    tmp_path: Path,
) -> None:
    """A syntax error ended the watch instead."""
    file = tmp_path / "published.json"
    source = FileSource(file)
    for text in ("{", DEEP.decode(), "[]", "1" * 5_000):
        file.write_text(text)
        with pytest.raises(SourceError):
            await source.list_upstreams()
