"""The record of standstills of a lab run's event loop."""

import asyncio
import gc
import time

from lupinmill.lab.loop_monitor import LoopMonitor


def monitored(action) -> LoopMonitor:
    """The monitor of a loop in which `action` is called once."""

    async def main() -> LoopMonitor:
        monitor = LoopMonitor()
        monitor.start()
        try:
            await asyncio.sleep(0.1)
            action()
            await asyncio.sleep(0.1)
        finally:
            monitor.stop()
        return monitor

    return asyncio.run(main())


def test_a_blocked_loop_is_recorded_with_its_length() -> None:
    monitor = monitored(lambda: time.sleep(0.7))
    longest = max(monitor.pauses, key=lambda pause: pause.length)
    assert longest.length >= 0.6 and longest.cpu < longest.length
    assert "s up to" in monitor.describe()


def test_garbage_collections_are_counted() -> None:
    monitor = monitored(gc.collect)
    assert monitor.collecting > 0
    assert monitor.on_collection not in gc.callbacks
