"""Case 7: an endpoint stands still for half a second within a long answer of unknown length."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand2 import TROUBLE, CouldNotRun, Endpoint, Site, addresses, main, now, read_body, read_head, settings

import random

STILL_S, EVERY_S = 0.5, 2.5  # leith-main, 8.5: 200 to 500 ms every few seconds, up to 29% of the nodes
BEGINS_S = 2.4  # after the request: within the contract time of 2.5 s
SIZE, PIECE, GAP_S = 100_000, 2_500, 0.05
LEFT_S = 3.0  # a try is given up after 50 to 60% of 6 s
STILL = {"e0": 0.0, "e1": 0.7, "e2": 1.3, "e3": 1.9}  # four of 14, each at times of its own
CLIENTS, SPAN_S = 36, 50

POLICY = {"name": "issue-policy", "repeat": "once", "group": "all", "window-s": 7.5, "contract-time-s": 2.5, "hard-limit-s": 6.0,
          "value": 3, "overdue-value": 0.0, "streaming": False}  # fmt: skip
SETTINGS = settings(
    [POLICY],
    instances=2,
    limits={"most-launches": 3},
    invariants={"stop-sending-within-s": 2.5, "cold-s": 24.0, "cold-share": 0.13, "overload-factor": 4.0},
)


class SlowWriter(Endpoint):
    """Gives long chunked answers in small pieces. `stands_still(now)`: until when nothing is done here."""

    def still_until(self) -> float:
        if not TROUBLE or self.name not in STILL:
            return 0.0
        began = now() - (now() - self.site.began - STILL[self.name]) % EVERY_S
        return began + STILL_S

    async def rest(self, until: float) -> None:
        while now() < until or now() < self.still_until():
            await asyncio.sleep(max(0.001, max(until, self.still_until()) - now()))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                line, headers = await read_head(reader)
                first = now()
                await read_body(reader, headers)
                run = {"id": headers["req-id"], "endpoint": self.name, "first": first, "at": now(), "key": None,
                       "kind": line.split("/")[1].split(" ")[0], "how": "begun", "given": 0, "pause": 0.0, "last": 0.0}  # fmt: skip
                self.site.runs.append(run)
                await self.rest(first + BEGINS_S)
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                run["last"] = at = now()
                while run["given"] < SIZE:
                    piece = run["id"].encode().ljust(PIECE, b".")
                    writer.write(b"%x\r\n" % PIECE + piece + b"\r\n")
                    await writer.drain()
                    run["given"] += PIECE
                    run["pause"], run["last"] = max(run["pause"], now() - run["last"]), now()
                    at = now() + GAP_S
                    await self.rest(at)
                    if writer.transport.is_closing() or reader.at_eof():
                        run["how"] = f"cut off after {run['given']} bytes"
                        return
                writer.write(b"0\r\n\r\n")
                await writer.drain()
                run["how"] = "whole"
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            if self.site.runs and "run" in locals() and run["how"] == "begun":
                run["how"] = f"cut off after {run['given']} bytes"
            writer.close()


async def client(site: Site, listen: str, until: float) -> None:
    host, port = listen.split(":")
    while now() < until:
        reader, writer = await asyncio.open_connection(host, int(port))
        record = {"id": "%016x" % random.getrandbits(64), "kind": "issue-policy", "key": None, "left": LEFT_S, "sent": None,
                  "status": None, "at": None, "end": "", "sends": 1, "body": b""}  # fmt: skip
        site.asked.append(record)
        head = f"POST /issue-policy HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {record['id']}\r\nReq-Kind: issue-policy\r\n"
        writer.write(head.encode() + f"Req-Deadline: {LEFT_S:.3f}\r\nContent-Length: 6\r\n\r\npolicy".encode())
        record["sent"] = now()
        try:
            line, headers = await read_head(reader)
            record["status"], record["at"] = int(line.split()[1]), now()
            record["body"] = await read_body(reader, headers)
        except (asyncio.IncompleteReadError, OSError) as error:
            record["end"] = f"not whole: {type(error).__name__} at {site.since(now())}"
        writer.close()
        await asyncio.sleep(random.random())


async def play(site: Site) -> list[str]:
    for number in range(14):
        endpoint = await SlowWriter(site, f"e{number}").start()
        site.endpoints[endpoint.name] = endpoint
        site.change(endpoint.name, "SERVING")
    (listen,) = addresses(1)
    await site.start(listen)
    until = now() + SPAN_S

    async def late(number: int) -> None:
        await asyncio.sleep(3 * number / CLIENTS)
        await client(site, listen, until)

    await asyncio.gather(*[late(number) for number in range(CLIENTS)])
    await asyncio.sleep(0.2)
    if sum(run["how"] == "whole" for run in site.runs) < 20:
        raise CouldNotRun("hardly any answer came whole")
    asked, broken = {record["id"]: record for record in site.asked}, []
    for run in site.runs:
        record = asked[run["id"]]
        if run["how"] == "whole" or record["sent"] is None:
            continue
        # the endpoint went on giving, in time and with no pause but what the page allows, and the client still read
        in_time = run["pause"] <= STILL_S + 4 * GAP_S
        if record["status"] == 200 and not record["body"] and in_time:
            passed = record["at"] - record["sent"]
            broken.append(f"{run['id']} at {run['endpoint']}: {run['how']}, 200 after {passed:.3f} s, {record['end']}")
    return broken


main(__file__, SETTINGS, play)
