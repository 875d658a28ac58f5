"""Discrete-event simulation: the site, the network and the decision module in one process, by seed.

Nothing here waits for a clock. `run` plays a scenario; `sidecar` is one virtual sidecar, made of `attempts`
and `connections` (towards endpoints) and `discovery` (its copy of the list); `front` routes requests of
clients to the sidecars, and `inner` carries the calls that endpoints make to the next tier. `recorded` spells
commands for the digests of a run.
"""

from lupinmill.lab.virtual.run import EPOCH, VirtualRun
from lupinmill.lab.virtual.sidecar import VirtualSidecar

__all__ = ["EPOCH", "VirtualSidecar", "VirtualRun"]
