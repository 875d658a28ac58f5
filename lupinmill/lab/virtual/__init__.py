"""Virtual time: the site, the network and the decision module itself in one process, from one seed.

Nothing here waits for a clock. `run` plays a scenario; `sidecar` is one virtual sidecar, made of `attempts`
and `connections` (what it sends to endpoints) and `discovery` (what it hears of the list); `front` carries
what clients ask to the sidecars, `inner` the calls that endpoints make of the next tier.
"""

from lupinmill.lab.virtual.run import EPOCH, VirtualRun
from lupinmill.lab.virtual.sidecar import VirtualSidecar

__all__ = ["EPOCH", "VirtualSidecar", "VirtualRun"]
