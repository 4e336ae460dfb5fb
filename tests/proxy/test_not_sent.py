"""Attempts that were not sent: daemon and balancer must keep numbering attempts alike."""

from __future__ import annotations

from typing import Any

from tests.proxy.sockets import KEYED_CLASS, Client, Host, proxy, run


def test_request_with_two_unsent_attempts_is_served_by_the_third() -> None:
    async def test() -> None:
        async with proxy(Host("a"), Host("b"), Host("c")) as p:
            original_start_attempt = p.upstream.start_attempt
            not_sent: list[str] = []

            def start_unless_removed(
                request: Any, endpoint: str, timeout_ms: float, ended: Any, still_allowed: Any
            ) -> Any:
                if len(not_sent) < 2:
                    not_sent.append(endpoint)
                    return None
                return original_start_attempt(request, endpoint, timeout_ms, ended, still_allowed)

            p.upstream.start_attempt = start_unless_removed  # type: ignore[method-assign, assignment]
            client = await Client.connect(p.port)
            status, _, body = await client.ask(KEYED_CLASS, key="k")
            assert status == 200
            assert body.startswith(b"from ")
            assert len(not_sent) == 2
            assert not p.engine.balancer.requests
            assert not p.engine.pending_count
            client.close()

    run(test())
