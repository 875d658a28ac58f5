"""The simulated site: what a scenario and a seed draw, and the troubles on its timeline.

`site` holds the endpoints, the lists of discovery and the load; `machines` draws the endpoints' figures;
`request_class` the classes of requests; `network` the ways between zones; `configuration` writes what
sidecars are configured with; `troubles` plans and carries out what goes wrong.
"""

from lupinmill.lab.world.random_streams import draw, random_stream
from lupinmill.lab.world.request_class import RequestClass
from lupinmill.lab.world.site import SILENT_WATCH_S, Driver, World

__all__ = ["SILENT_WATCH_S", "RequestClass", "Driver", "World", "draw", "random_stream"]
