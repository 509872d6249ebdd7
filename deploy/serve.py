"""Starts the entry daemon from a checkout on a platform host."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from plantainsail.platform.program import main  # noqa: E402

sys.exit(main())
