"""The servers of the endpoints in a run on sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lupinmill.lab.endpoint import Endpoint
from lupinmill.lab.registry import Registry
from lupinmill.lab.stand_ins import EndpointServer

if TYPE_CHECKING:
    from lupinmill.lab.sockets.run import SocketRun


class EndpointServers:
    """Servers by the endpoint's name; a server is kept when its endpoint crashes."""

    def __init__(self, run: SocketRun) -> None:
        self.run, self.world = run, run.world
        self.servers: dict[str, EndpointServer] = {}
        self.names: dict[int, set[str]] = {}  # by tier: all names that its list ever had

    def address(self, name: str) -> str:
        """Returns the address of an endpoint, also while it is down."""
        return self.servers[name].address

    def listed_names(self, registry: Registry) -> list[str]:
        """Returns all names that this list ever had."""
        return sorted(self.names[self.world.registries.index(registry)])

    async def serve(self, endpoint: Endpoint) -> None:
        """Starts a server for a new endpoint."""
        server = EndpointServer(endpoint, self.run)
        await server.listen()
        self.servers[endpoint.spec.name] = server
        self.names.setdefault(endpoint.spec.tier, set()).add(endpoint.spec.name)

    async def start(self, endpoint: Endpoint) -> None:
        """Starts an endpoint, under its previous address if it had one."""
        if (server := self.servers.get(endpoint.spec.name)) is None:
            await self.serve(endpoint)
        else:
            server.close()
            await server.listen()

    def died(self, endpoint: Endpoint) -> None:
        """Resets the endpoint's connections, or leaves them open without answers."""
        server = self.servers[endpoint.spec.name]
        if endpoint.silent:
            server.stop_accepting()
        else:
            server.refuse_connections()

    def close(self) -> None:
        """Closes all servers."""
        for server in self.servers.values():
            server.close()
