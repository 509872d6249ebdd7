"""A replica of a plain service in a process of its own.

It prints its address, and a line for each run and for each answer that
is half sent.  The driver registers it in the store.
"""

import argparse
import asyncio
import sys

from standins.http import Request, answer, head, read_request

SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
BODY = b"the whole answer " * 48
WORK_S = 0.02
# An answer without a length comes in two parts with this pause.
PAUSE_S = 0.3


def say(text: str) -> None:
    """Print a line for the driver."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


class SeparateReplica:
    """Answers requests; one in `unframed_every` without a length."""

    def __init__(self, name: str, unframed_every: int) -> None:
        """Set the attributes."""
        self.name = name
        self.unframed_every = unframed_every

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one channel."""
        try:
            while True:
                request = await read_request(reader)
                if not await self.serve(request, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def serve(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return whether the channel stays open."""
        if request.path == "/health":
            writer.write(answer(200, {"X-Replica-Id": self.name}))
            return True
        if request.get("x-expected-replica") not in (None, self.name):
            writer.write(answer(421, {"X-Replica-Id": self.name}))
            return True
        identifier = request.get("x-attempt-id") or "x-1"
        fields = {
            "X-Attempt-Id": identifier,
            "X-Response-Signature": SIGNATURE,
        }
        say(f"runs {identifier}")
        await asyncio.sleep(WORK_S)
        if int(identifier.rpartition("-")[2]) % self.unframed_every:
            writer.write(answer(200, fields, BODY))
            await writer.drain()
            return True
        half = len(BODY) // 2
        writer.write(head(200, fields | {"Connection": "close"}))
        writer.write(BODY[:half])
        await writer.drain()
        say(f"half {identifier}")
        await asyncio.sleep(PAUSE_S)
        writer.write(BODY[half:])
        await writer.drain()
        return False


async def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("name")
    parser.add_argument("ip")
    parser.add_argument("unframed_every", type=int)
    options = parser.parse_args()
    replica = SeparateReplica(options.name, options.unframed_every)
    server = await asyncio.start_server(replica.accept, options.ip, 0)
    port = server.sockets[0].getsockname()[1]
    say(f"{options.ip}:{port}")
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
