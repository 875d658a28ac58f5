"""Steps the wall clock of single processes while they run, without any right to set the machine's clock.

A process that is started with `environ` reads its wall clock through `clock_shim/sitecustomize.py`."""

from __future__ import annotations

import os
import struct
from pathlib import Path

SHIM_FOLDER = Path(__file__).parent / "clock_shim"
FILE_VARIABLE, KERNEL_VARIABLE = "LUPINMILL_STEPPED_CLOCK", "LUPINMILL_STEPPED_CLOCK_KERNEL"
OFFSETS = struct.Struct("qq")  # as in the shim
NANOSECONDS = 1_000_000_000


class SteppedClock:
    """The wall clock of all processes that are started with its environment.

    `with_kernel`: the kernel's receive timestamps step along, as where the whole machine's clock is set."""

    def __init__(self, path: Path, with_kernel: bool = False) -> None:
        self.path, self.with_kernel = path, with_kernel
        self.offset_s = 0.0
        path.write_bytes(OFFSETS.pack(0, 0))

    def step(self, seconds: float) -> None:
        """Sets the clock forward, or back where `seconds` is negative, at once in all processes."""
        self.offset_s += seconds
        offset_ns = round(self.offset_s * NANOSECONDS)
        with self.path.open("r+b") as file:
            file.write(OFFSETS.pack(offset_ns, offset_ns if self.with_kernel else 0))

    def environ(self, python_path: str = "") -> dict[str, str]:
        """The variables of a process whose clock it is. `python_path`: what PYTHONPATH has besides."""
        found = {
            FILE_VARIABLE: str(self.path),
            "PYTHONPATH": os.pathsep.join(filter(None, [str(SHIM_FOLDER), python_path])),
        }
        return found | ({KERNEL_VARIABLE: "1"} if self.with_kernel else {})
