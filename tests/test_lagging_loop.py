"""Final answers of requests whose hard limit passes while the event loop is blocked."""

import socket
import threading
import time

import anyio
import pytest
from bed import Net, on_network, settings, wanted
from endpoint_acts import fine, until

DEADLINE_S = 0.3
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ThreadedEndpoint:
    """An endpoint that no event loop can block: it answers `after` seconds, or never."""

    def __init__(self, after: float | None) -> None:
        self.after, self.began = after, threading.Event()
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen()
        self.address = "127.0.0.1:%d" % self.sock.getsockname()[1]
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        try:
            while True:
                sock, _ = self.sock.accept()
                threading.Thread(target=self.serve, args=(sock,), daemon=True).start()
        except OSError:
            pass  # closed

    def serve(self, sock: socket.socket) -> None:
        with sock:
            while b"Req-Id: s1\r\n" in sock.recv(2_000):
                self.began.set()
                if self.after is not None:
                    time.sleep(self.after)
                    sock.sendall(ANSWER)


@pytest.mark.parametrize("over", [0.01, 0.1, 0.25])
@pytest.mark.parametrize("after", [0.1, None])
def test_a_hard_limit_that_passes_while_the_loop_is_blocked_is_the_decision_modules(after, over):
    """What arrived in time is passed on. The backstop is for a module that fails, and its log says so."""
    endpoint = ThreadedEndpoint(after)

    class Threaded(Net):
        async def start(self, group) -> None:
            await super().start(group)
            for row in (self.discovery.rows[0], self.table["known"]["endpoints"][0]):
                row["address"] = endpoint.address

    async def check(net: Net):
        answers = []

        async def ask() -> None:
            answers.append(await net.ask(wanted("s1", "issue", str(DEADLINE_S))))

        async with anyio.create_task_group() as group:
            group.start_soon(ask)
            await until(endpoint.began.is_set)
            time.sleep(DEADLINE_S + over)
        assert answers[0].status == (502 if after is None else 200)

    limits = settings()["limits"] | {"probes": False}
    net = on_network(check, fine, net_of=Threaded, limits=limits)
    endpoint.sock.close()
    assert not [event for event, _ in net.logs if event == "backstop" or "failed" in event]
