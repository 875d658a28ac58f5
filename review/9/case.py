"""Case 9: a sidecar that was killed starts with an old list while discovery has many callers."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand2 import TROUBLE, Client, CouldNotRun, Site, addresses, main, now, settings

GRACE_S, SLACK_S = 0.5, 0.05  # amman-shared; PROTOCOL: each time limit is 50 ms longer on sockets
OTHERS, CALL_S = 24, 0.05  # other sidecars that call discovery, and what a call takes there
CLIENTS = 8

VIEW = {"name": "plan-view", "repeat": "repeatable", "group": "all", "window-s": 5.0, "contract-time-s": 0.5, "hard-limit-s": 1.2,
        "value": 1, "overdue-value": 0.2, "streaming": False}  # fmt: skip
SETTINGS = settings(
    [VIEW],
    instances=OTHERS + 1,
    discovery="push",
    limits={"most-launches": 6},
    invariants={"stop-sending-within-s": GRACE_S, "cold-s": 8.8, "cold-share": 0.33, "fall-s": 3.0, "overload-factor": 2.5},
)


async def other_sidecar(site: Site) -> None:
    """Another sidecar: it asks for the list, and again when it is answered."""
    host, port = site.discovery.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    while True:
        writer.write(b"GET /v1/endpoints HTTP/1.1\r\nHost: discovery\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0]))


async def client(site: Site, listen: str, until: float) -> None:
    one = Client(site, listen)
    while now() < until:
        await one.ask("plan-view", 1.2)
        await asyncio.sleep(0.02)
    one.close()


async def play(site: Site) -> list[str]:
    for number in range(6):
        await site.add(f"e{number}")
    (listen,) = addresses(1)
    process = await site.start(listen)
    await asyncio.gather(*[client(site, listen, now() + 1) for _ in range(CLIENTS)])
    known = site.known()  # as this sidecar last had it
    process.signal(signal.SIGKILL)
    await process.ended(5)
    site.note("the sidecar was killed")
    site.change("e0", "DRAINING")
    others = []
    if TROUBLE:
        site.discovery.call_s = CALL_S
        others = [asyncio.create_task(other_sidecar(site)) for _ in range(OTHERS)]
        site.note(f"discovery has {OTHERS} other callers")
    await asyncio.sleep(2.0)
    process = await site.start(listen, known=known)
    await asyncio.gather(*[client(site, listen, now() + 4) for _ in range(CLIENTS)])
    for task in others:
        task.cancel()
    if not any(c["status"] == 200 and c["sent"] > process.started for c in site.asked):
        raise CouldNotRun("nothing was served after the start")
    # told from the first moment of the new process
    limit = process.started + GRACE_S + SLACK_S
    late = [run for run in site.runs if run["endpoint"] == "e0" and run["first"] > limit]
    return [f"{run['id']} sent to e0 {run['first'] - process.started:.3f} s after the start" for run in late]


main(__file__, SETTINGS, play)
