"""What a serving process holds before its first client."""

from pathlib import Path

import orjson
from memory_bed import Endpoint, start, status_kb, table_of

BASE_LIMIT_KB = 22 * 1024  # the stated target


def started(folder: Path, **environ: str):
    endpoint = Endpoint("silent")
    endpoint.address = "127.0.0.1:9"
    process = start(folder, table_of(endpoint, None), **environ)
    assert orjson.loads(process.stdout.readline())["event"] == "started"
    return process


def test_a_process_holds_at_most_22_mib_before_its_first_client(tmp_path):
    """As deployed, with compiled modules: the first start compiles them."""
    compiled = {"PYTHONPYCACHEPREFIX": str(tmp_path / "compiled")}
    for _ in range(2):
        process = started(tmp_path, **compiled)
        resident = status_kb(process.pid, "VmRSS")
        process.kill()
        process.communicate()
    assert resident <= BASE_LIMIT_KB


def test_a_serving_process_does_not_load_openssl(tmp_path):
    process = started(tmp_path)
    maps = Path(f"/proc/{process.pid}/maps").read_text()
    process.kill()
    process.communicate()
    assert "libpython" in maps or "python3" in maps
    assert "libssl" not in maps and "libcrypto" not in maps and "_ssl" not in maps
