"""A client that disconnects in the middle of its upload, if attempts may not be cancelled."""

import anyio
from bed import on_network, settings, wanted
from endpoint_acts import fine, until


def test_an_upload_whose_client_left_holds_no_attempt_and_no_part_of_its_body():
    limits = settings()["limits"] | {"cancel": False}

    async def check(net):
        host, port = net.address.split(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(wanted("s1", body=b"x" * 6_000_000)[:2_500_000])
            await until(
                lambda: any(one.attempts for one in net.program.request_table.pending_requests.values())
            )
        await until(lambda: not net.program.request_table.pending_requests)
        assert net.program.body_memory.leased == 0

    on_network(check, fine, fine, limits=limits)
