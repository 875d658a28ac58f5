"""The simulated site, as drawn from a scenario and a seed, and the troubles that are injected into it.

`site` holds the endpoints, the discovery registries and the load; `machines` draws the parameters of the
endpoints; `request_class` those of the classes of requests; `network` simulates the links between zones;
`configuration` builds the settings of sidecars; `troubles` schedules and injects faults; `random_streams`
seeds all random draws.
"""

from lupinmill.lab.world.random_streams import draw, random_stream
from lupinmill.lab.world.request_class import RequestClass
from lupinmill.lab.world.site import SILENT_WATCH_S, Driver, World

__all__ = ["SILENT_WATCH_S", "RequestClass", "Driver", "World", "draw", "random_stream"]
