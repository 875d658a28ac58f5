"""Sockets: the same site, clients and rule checker in real time, with real processes of the program.

`run` plays a scenario. It owns the stand-ins and the processes: none of them outlives a run, however it ends.
`clock` advances the timeline in real time; `sidecars` waits for processes and follows their logs;
`configuration` builds their configuration; `endpoints` holds the servers; `requests` holds the requests in
flight, of which `front` sends those of clients and `inner` those of endpoints that call the next tier;
`slow_clients` keep connections open without sending a complete request.
"""

from lupinmill.lab.sockets.run import SocketRun

__all__ = ["SocketRun"]
