"""Generates the gRPC code from the protocol files.

It needs the generator of `tools/requirements.txt`.  It also writes the
SHA-256 hash of each protocol file beside that file.  A test compares
the hashes to detect generated code that is out of date.
"""

import hashlib
import sys
from pathlib import Path

SOURCE_DIRECTORY = Path("src")
WIRE_DIRECTORY = SOURCE_DIRECTORY / "plantainsail" / "peers" / "wire"


def protocol_hash(protocol: Path) -> str:
    """Return the SHA-256 hash of a protocol file."""
    return hashlib.sha256(protocol.read_bytes()).hexdigest()


def main() -> int:
    """Generate the code of the named protocol files, or of all."""
    from grpc_tools import protoc

    names = sys.argv[1:] or sorted(
        p.name for p in WIRE_DIRECTORY.glob("*.proto")
    )
    for name in names:
        protocol = WIRE_DIRECTORY / name
        status = protoc.main(
            [
                "protoc",
                f"-I{SOURCE_DIRECTORY}",
                f"--python_out={SOURCE_DIRECTORY}",
                f"--pyi_out={SOURCE_DIRECTORY}",
                f"--grpc_python_out={SOURCE_DIRECTORY}",
                str(protocol),
            ]
        )
        if status != 0:
            return int(status)
        hash_file = protocol.with_suffix(".sha256")
        hash_file.write_text(protocol_hash(protocol) + "\n", encoding="ascii")
    return 0


if __name__ == "__main__":
    sys.exit(main())
