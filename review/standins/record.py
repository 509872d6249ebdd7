"""The record of a run: what was sent, answered and run."""

import time
from pathlib import Path


class Record:
    """Writes timed lines to `record.txt` and to standard output."""

    def __init__(self, folder: Path) -> None:
        """Set the attributes."""
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started_s

    def add(self, text: str) -> None:
        """Write one line with its time."""
        self.file.write(f"{self.now_s():8.3f} s  {text}\n")
        self.file.flush()

    def close(self) -> None:
        """Close the file."""
        self.file.close()
