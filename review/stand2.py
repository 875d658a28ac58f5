"""Stand-ins of the cases 6 to 9: discovery, endpoints, clients and the platform, all on loopback addresses.

They follow the pages PROTOCOL, DEPLOY, DAYS and STANDING. The sidecar is started by the line `run` of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
now = time.monotonic


class CouldNotRun(Exception):
    """The case can't tell whether the rule holds."""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines[1:]):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def answer(status: str, body: bytes = b"", more: str = "") -> bytes:
    return f"HTTP/1.1 {status}\r\n{more}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Discovery:
    """Works through calls in turn; each takes `call_s` of its time. What changes is told on open watches."""

    def __init__(self, site: Site) -> None:
        self.site, self.call_s, self.turn = site, 0.0, asyncio.Lock()
        self.changed = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self, port: int = 0) -> Discovery:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                line, _ = await read_head(reader)
                came = now()
                async with self.turn:
                    await asyncio.sleep(self.call_s)
                table = await self.result(line.split(" ")[1])
                data = json.dumps(table).encode()
                writer.write(answer("200 OK", data, "Content-Type: application/json\r\n"))
                await writer.drain()
                self.site.listed.append((came, now(), table["index"], len(table["endpoints"])))
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def result(self, target: str) -> dict[str, object]:
        site, (_, _, query) = self.site, target.partition("?")
        if not query:
            rows = [row for row in site.rows.values() if row["status"] != "DELETED"]
            return {"index": site.index, "snapshot": True, "endpoints": rows}
        given = dict(part.split("=") for part in query.split("&"))
        since, until = int(given["index"]), now() + int(given.get("wait", 0)) / 1000
        while site.index <= since and now() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - now())
            except TimeoutError:
                pass
        rows = {row["name"]: row for index, row in site.changes if index > since}
        return {"index": site.index, "snapshot": False, "endpoints": list(rows.values())}

    def stop(self) -> None:
        """Takes no new connection, and resets the open ones."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Endpoint:
    """`behave(run)` says how a request ends: its kind, and after how many seconds."""

    def __init__(self, site: Site, name: str, group: int = 0, zone: str = "z", kind: str = "k") -> None:
        self.site, self.name, self.group, self.zone, self.kind = site, name, group, zone, kind
        self.behave = lambda run: ("ok", 0.03)
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self, port: int = 0) -> Endpoint:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def row(self, status: str, since_ms: int = 0) -> dict[str, object]:
        return {"name": self.name, "address": self.address, "zone": self.zone, "type": self.kind,
                "group": self.group, "status": status, "weight": 1.0, "since_ms": since_ms}  # fmt: skip

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                first = now()
                body = await read_body(reader, headers)
                path = line.split(" ")[1]
                if path in ("/health", "/status/load"):
                    writer.write(answer("200 OK", b"ok"))
                    continue
                run = {"id": headers.get("req-id"), "endpoint": self.name, "first": first, "at": now(),
                       "key": headers.get("idempotency-key"), "kind": path.split("/")[1], "how": ""}  # fmt: skip
                self.site.runs.append(run)
                how, seconds = self.behave(run)
                run["how"] = how
                await asyncio.sleep(seconds)
                if how == "ok":
                    writer.write(answer("200 OK", f"{run['id']} by {self.name}".encode()))
                elif how == "error":
                    writer.write(answer("500 Error"))
                elif how == "declined":
                    writer.write(answer("503 Declined", more="Srv-Declined: 1\r\n"))
                elif how == "reset":
                    writer.transport.abort()
                    return
                else:
                    await asyncio.sleep(3600)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def kill(self) -> None:
        """The process dies: its connections are reset, and new ones are refused."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Client:
    """Keeps one connection and sends one request at a time. Where a close crosses a request of which no byte was
    answered, it sends it once more on a new connection."""

    def __init__(self, site: Site, address: str) -> None:
        self.site, self.address = site, address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(self, kind: str, left_s: float, key: str | None = None, body: bytes | None = None) -> dict:
        record = {"id": "%016x" % random.getrandbits(64), "kind": kind, "key": key, "left": left_s, "sent": None,
                  "status": None, "at": None, "end": "", "sends": 0, "body": b""}  # fmt: skip
        self.site.asked.append(record)
        head = "GET" if body is None else "POST"
        head += f" /{kind} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {record['id']}\r\nReq-Kind: {kind}\r\n"
        head += f"Req-Deadline: {left_s:.3f}\r\n"
        head += f"Idempotency-Key: {key}\r\n" if key else ""
        head += f"Content-Length: {len(body)}\r\n" if body is not None else ""
        while record["sends"] < 2:
            fresh, begun = self.writer is None, False
            try:
                if fresh:
                    host, port = self.address.split(":")
                    self.reader, self.writer = await asyncio.open_connection(host, int(port))
                record["sends"] += 1
                self.writer.write(head.encode() + b"\r\n" + (body or b""))
                await self.writer.drain()
                record["sent"] = now()
                async with asyncio.timeout(left_s + 2):
                    line, headers = await read_head(self.reader)
                    begun = True
                    record["body"] = await read_body(self.reader, headers)
                record["status"], record["at"] = int(line.split()[1]), now()
                if headers.get("connection", "").lower() == "close":
                    self.close()
                return record
            except TimeoutError:
                record["end"] = "no answer"
                self.close()
                return record
            except (asyncio.IncompleteReadError, OSError) as error:
                record["end"] = type(error).__name__
                self.close()
                if fresh or begun:
                    return record
        return record


class Process:
    """One process of a sidecar, started by the line `run` of the deploy file."""

    def __init__(self, popen: subprocess.Popen, config: Path, listen: str, operator: str, started: float) -> None:
        self.popen, self.config, self.listen, self.operator, self.started = popen, config, listen, operator, started

    def alive(self) -> bool:
        return self.popen.poll() is None

    def signal(self, number: int) -> None:
        self.popen.send_signal(number)

    async def ended(self, within_s: float) -> bool:
        until = now() + within_s
        while self.alive() and now() < until:
            await asyncio.sleep(0.01)
        return not self.alive()


class Site:
    """What happens in a case, and all that has to be ended after it."""

    def __init__(self, folder: Path, settings: dict) -> None:
        self.folder, self.settings = folder, settings
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.index, self.rows, self.changes = 100, {}, []
        self.runs: list[dict] = []
        self.asked: list[dict] = []
        self.listed: list[tuple] = []
        self.notes: list[tuple[float, str]] = []
        self.processes: list[Process] = []
        self.endpoints: dict[str, Endpoint] = {}
        self.began = now()
        self.discovery = Discovery(self)
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            self.run_line = tomllib.load(file)["run"]

    def note(self, text: str) -> None:
        self.notes.append((now(), text))

    def since(self, at: float | None) -> str:
        return "-" if at is None else f"{at - self.began:.3f}"

    async def add(self, name: str, status: str = "SERVING", port: int = 0, **more: object) -> Endpoint:
        endpoint = await Endpoint(self, name, **more).start(port)
        self.endpoints[name] = endpoint
        self.change(name, status)
        return endpoint

    def change(self, name: str, status: str, since_ms: int = 0) -> float:
        """Discovery has this from now on."""
        self.index += 1
        self.rows[name] = self.endpoints[name].row(status, since_ms)
        self.changes.append((self.index, self.rows[name]))
        self.discovery.notify()
        self.note(f"discovery: {name} {status}, version {self.index}")
        return now()

    def known(self) -> dict:
        rows = [row for row in self.rows.values() if row["status"] != "DELETED"]
        return {"index": self.index, "snapshot": True, "endpoints": rows}

    async def start(
        self, listen: str, known: dict | None = None, operator: str = "", tmpdir: str = "", name: str = "n1", ready: bool = True
    ) -> Process:
        number = len(self.processes)
        table = {"name": name, "listen": listen, "discovery": self.discovery.address, "seed": "%016x" % random.getrandbits(64),
                 "limits": self.limits, "known": known or self.known(), "settings": self.settings}  # fmt: skip
        table |= {"operator": operator} if operator else {}
        config = self.temporary / f"config{number}.json"
        config.write_text(json.dumps(table))
        folder = self.temporary / (tmpdir or f"tmp{number}")
        folder.mkdir(exist_ok=True)
        environ = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
        environ |= {"BALANCER_NAME": name, "BALANCER_LISTEN": listen, "BALANCER_DISCOVERY": self.discovery.address,
                    "BALANCER_CONFIG": str(config), "TMPDIR": str(folder)}  # fmt: skip
        environ |= {"BALANCER_OPERATOR": operator} if operator else {}
        started = now()
        with open((Path(os.environ["KEEP"]) if "KEEP" in os.environ else self.temporary) / f"log{number}", "wb") as log:
            popen = subprocess.Popen(
                ["/bin/sh", "-c", self.run_line], cwd=ROOT, env=environ, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        process = Process(popen, config, listen, operator, started)
        self.processes.append(process)
        self.note(f"process {number} started, pid {popen.pid}")
        if ready:
            await self.wait_ready(process)
        return process

    async def wait_ready(self, process: Process, within_s: float = 30) -> float:
        """As the front asks, or the platform at an upgrade. Returns when it said yes."""
        until = now() + within_s
        while now() < until:
            if not process.alive():
                raise CouldNotRun(f"the sidecar ended with {process.popen.returncode}")
            try:
                health = "/admin/health" if process.operator else "/ready"
                if await call(process.operator or process.listen, "GET", health) == 200:
                    self.note(f"pid {process.popen.pid} says yes")
                    return now()
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise CouldNotRun("the sidecar was not ready in time")

    def record(self, verdict: str) -> None:
        lines = [f"TROUBLE={int(TROUBLE)}; seconds since the start of the case", verdict, "", "what happened"]
        lines += [f"{self.since(at)} {text}" for at, text in self.notes]
        lines += ["", "asked by clients: id, workload, key, time left, sent, answered, status, end, sends"]
        lines += [f"{c['id']} {c['kind']} {c['key'] or '-'} {c['left']} {self.since(c['sent'])} {self.since(c['at'])} "
                  f"{c['status']} {c['end'] or '-'} {c['sends']}" for c in self.asked]  # fmt: skip
        lines += ["", "run by endpoints: id, workload, key, endpoint, first byte, last byte, how"]
        lines += [f"{r['id']} {r['kind']} {r['key'] or '-'} {r['endpoint']} {self.since(r['first'])} {self.since(r['at'])} "
                  f"{r['how']}" for r in self.runs]  # fmt: skip
        lines += ["", "answered by discovery: asked, answered, version, rows"]
        lines += [f"{self.since(a)} {self.since(b)} {index} {rows}" for a, b, index, rows in self.listed]
        (self.folder / "record.txt").write_text("\n".join(lines) + "\n")

    def end(self) -> None:
        for process in self.processes:
            if process.alive():
                process.popen.kill()
            process.popen.wait()
        self.discovery.stop()
        for endpoint in self.endpoints.values():
            endpoint.kill()
        shutil.rmtree(self.temporary, ignore_errors=True)


async def call(address: str, method: str, target: str) -> int:
    """The status of a call at the clients' or the operators' address."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(f"{method} {target} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".encode())
        async with asyncio.timeout(3):
            line, _ = await read_head(reader)
        return int(line.split()[1])
    finally:
        writer.close()


def addresses(count: int) -> list[str]:
    """Loopback addresses with free ports."""
    import socket

    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    found = ["127.0.0.1:%d" % sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return found


def settings(workloads: list[dict], **more: dict | str | int) -> dict:
    """Settings of a small deployment, in the words of the simulator's first message."""
    found = {
        "tier": 0, "instances": 1, "discovery": "push", "family": "chain", "round-s": 0.005, "areas": ["z"], "kinds": ["k"],
        "locality": "z", "position": 0, "weights": "off", "beyond-share-value": 1.0,
        "limits": {"most-launches": 4, "cancel": True, "may-duplicate": True, "probes": False, "retry-after": True,
                   "max-retry-after-s": 1.5, "conn-idle-s": 30, "connect-timeout-s": 0.2, "streams-per-conn": 1, "most-held": 20000},
        "invariants": {"ask-within-s": 10.0, "cold-s": 7.6, "cold-share": 0.31, "fall-s": 2.0, "grace-to-answer-s": 0.02,
                       "overload-factor": 3.0, "stop-sending-within-s": 1.0},
        "load-report": {"how": "off", "fields": []}, "workloads": workloads,
    }  # fmt: skip
    for key, value in more.items():
        key = key.replace("_", "-")
        found[key] = found[key] | value if isinstance(value, dict) and isinstance(found.get(key), dict) else value
    return found


def main(file: str, make_settings: dict, play) -> None:
    """Runs `play(site)`, which returns what broke the rule, one text for each break, and exits with the verdict."""
    site = Site(Path(file).resolve().parent, make_settings)

    async def run() -> list[str]:
        await site.discovery.start()
        async with asyncio.timeout(LIMIT_S):
            return await play(site)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    code, verdict = COULD_NOT_RUN, "could not run"
    try:
        broken = asyncio.run(run())
        code = BROKEN if broken else HELD
        verdict = "\n".join(["rule broken", *broken]) if broken else "rule held"
    except Exception:
        verdict = f"could not run\n{traceback.format_exc()}"
    finally:
        site.record(verdict)
        site.end()
    print(verdict[:2000])
    sys.exit(code)
