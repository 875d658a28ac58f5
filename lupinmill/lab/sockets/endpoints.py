"""The endpoints of a run on sockets: a server for each."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lupinmill.lab.endpoint import Endpoint
from lupinmill.lab.registry import Registry
from lupinmill.lab.stand_ins import EndpointServer

if TYPE_CHECKING:
    from lupinmill.lab.sockets.run import SocketRun


class EndpointServers:
    """By the endpoint's name; a server outlives its endpoint's death."""

    def __init__(self, run: SocketRun) -> None:
        self.run, self.world = run, run.world
        self.servers: dict[str, EndpointServer] = {}
        self.names: dict[int, set[str]] = {}  # all that a tier's list ever named

    def address(self, name: str) -> str:
        """Where it listens, also while it is dead."""
        return self.servers[name].address

    def listed_names(self, registry: Registry) -> list[str]:
        """All that this list ever named."""
        return sorted(self.names[self.world.registries.index(registry)])

    async def serve(self, endpoint: Endpoint) -> None:
        """A socket for an endpoint that is new."""
        server = EndpointServer(endpoint, self.run)
        await server.listen()
        self.servers[endpoint.shape.name] = server
        self.names.setdefault(endpoint.shape.tier, set()).add(endpoint.shape.name)

    async def start(self, endpoint: Endpoint) -> None:
        """Under its old address, where it had one."""
        if (server := self.servers.get(endpoint.shape.name)) is None:
            await self.serve(endpoint)
        else:
            server.close()
            await server.listen()

    def died(self, endpoint: Endpoint) -> None:
        """Its connections are reset, or say nothing any more."""
        server = self.servers[endpoint.shape.name]
        if endpoint.silent:
            server.stop_accepting()
        else:
            server.refuse_connections()

    def close(self) -> None:
        """All of them."""
        for server in self.servers.values():
            server.close()
