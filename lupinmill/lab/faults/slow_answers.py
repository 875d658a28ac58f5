"""Long answers that an endpoint gives slowly: in pieces with gaps, and standing still once within them.

None of it is longer than endpoints may take, so that whoever reads the answer gets it whole."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from random import Random

from lupinmill.lab.faults.connection import TCP_ESTABLISHED, Connection
from lupinmill.lab.faults.records import Attempt

SIZES = (66_000, 72_000, 97_000, 150_000, 300_000)  # bytes; the program holds no more than 64 KiB back
GAPS_S, GIVEN_WITHIN_S = (0.02, 0.05, 0.15, 0.3, 0.45), (0.5, 1.0, 2.0)
BEGINS_AT = (0.0, 0.3, 0.6, 0.9)  # of the time that the client has left
STILL_S = (0.2, 0.5)
STILL_BEFORE_DEADLINE_S = 0.3  # a stand-still at the deadline begins so long before it at most


@dataclass(frozen=True, slots=True)
class SlowAnswer:
    """Times in seconds from the request, but for `gap_s` and `still_s`."""

    size: int
    pieces: int
    gap_s: float
    begins_at: float
    still_at: float
    still_s: float
    framing: str  # "chunked", "close" or "length"

    def head(self) -> bytes:
        ends = {
            "chunked": b"Transfer-Encoding: chunked",
            "close": b"Connection: close",
            "length": b"Content-Length: %d" % self.size,
        }[self.framing]
        return b"HTTP/1.1 200 OK\r\n%b\r\n\r\n" % ends

    def piece(self, body: bytes, number: int) -> bytes:
        data = body[number * len(body) // self.pieces : (number + 1) * len(body) // self.pieces]
        return b"%x\r\n%b\r\n" % (len(data), data) if self.framing == "chunked" else data


def draw(random: Random, deadline_s: float) -> SlowAnswer:
    gap_s, within_s = random.choice(GAPS_S), random.choice(GIVEN_WITHIN_S)
    begins_at = deadline_s * random.choice(BEGINS_AT)
    at_any_time = random.uniform(begins_at, begins_at + within_s)
    at_the_deadline = deadline_s - random.uniform(0.0, STILL_BEFORE_DEADLINE_S)
    return SlowAnswer(
        size=random.choice(SIZES),
        pieces=max(2, int(within_s / gap_s)),
        gap_s=gap_s,
        begins_at=begins_at,
        still_at=random.choice((at_any_time, at_the_deadline)),
        still_s=random.uniform(*STILL_S),
        framing=random.choice(("chunked", "chunked", "close", "length")),
    )


async def give(connection: Connection, attempt: Attempt, answer: SlowAnswer) -> bool:
    """Gives the answer, unless the other side closes the connection before its end. True if the connection
    can be used further."""
    began = time.monotonic()
    still_until = began + answer.still_at + answer.still_s

    async def wait_until(due: float) -> None:
        stands_still = began + answer.still_at < due and answer.still_s
        await asyncio.sleep(max(due, still_until if stands_still else 0.0) - time.monotonic())

    await wait_until(began + answer.begins_at)
    await connection.send(answer.head())
    for number in range(answer.pieces):
        if connection.tcp_state() != TCP_ESTABLISHED:
            attempt.cut_off_at = time.time()
            return False
        await connection.send(answer.piece(attempt.answer_body, number))
        sent_at = time.monotonic()
        await wait_until(sent_at + answer.gap_s)
        attempt.longest_pause_s = max(attempt.longest_pause_s, time.monotonic() - sent_at)
    await connection.send(b"0\r\n\r\n" if answer.framing == "chunked" else b"")
    attempt.answer_complete = True
    return answer.framing != "close"
