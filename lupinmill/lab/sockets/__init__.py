"""Sockets: the same site, clients and referee in real time, around real processes of the program.

`run` plays a scenario and owns the stand-ins and the processes: whatever ends a run, none of them outlives
it. `clock` carries the timeline along in real time; `sidecars` follows the processes and `configuration`
writes what they are configured with; `endpoints` holds the servers; `requests` holds the requests that are
out, of which `front` sends those of clients and `inner` those of endpoints that call the next tier;
`slow_clients` ask for nothing.
"""

from lupinmill.lab.sockets.run import SocketRun

__all__ = ["SocketRun"]
