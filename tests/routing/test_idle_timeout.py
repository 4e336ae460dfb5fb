"""The idle timeout and the limit on dials: alone, with the daemon's pool, and with many instances."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path
from typing import cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from client_proxy import clock
from client_proxy.api.events import Outcome
from client_proxy.api.settings import Limits
from client_proxy.emulator.network import MemoryNetwork
from client_proxy.emulator.report import build_report
from client_proxy.emulator.scenario import Scenario
from client_proxy.emulator.scenario_reader import load_scenario
from client_proxy.emulator.simulation import SimulationResult, simulate
from client_proxy.emulator.virtual import Scheduler
from client_proxy.operators import NO_FEATURES, OperatorSettings, parse_operators
from client_proxy.proxy.messages import ClientRequest
from client_proxy.proxy.upstream_attempt import AttemptResult
from client_proxy.proxy.upstream_pool import UpstreamPool
from client_proxy.routing.idle_timeout import (
    MIN_CUT_INTERVAL_MS,
    RESTORE_DELAY_MS,
    RESTORE_JITTER,
    ConnectionSettings,
    IdleTimeout,
)
from client_proxy.toml_table import TomlError
from tests.support.fixed_draws import fixed_draws

SCENARIO_PATH = Path(__file__).parents[2] / "examples" / "days" / "hall-lost-busy.toml"


def test_rejections_cut_the_timeout_to_zero_and_simultaneous_ones_count_once() -> None:
    idle_timeout = IdleTimeout(ConnectionSettings(idle_timeout_s=8.0), 30_000.0)
    assert idle_timeout.idle_timeout_ms(0.0) == 8000.0
    for _ in range(20):
        idle_timeout.connection_rejected(10.0)
    assert idle_timeout.idle_timeout_ms(10.0) == 2000.0
    now_ms = 10.0
    for _ in range(4):
        now_ms += MIN_CUT_INTERVAL_MS
        idle_timeout.connection_rejected(now_ms)
    assert idle_timeout.idle_timeout_ms(now_ms) == 0.0
    assert len(idle_timeout.take_log_lines()) == 1
    assert not idle_timeout.take_log_lines()


def test_the_timeout_is_restored_with_jitter_without_rejections() -> None:
    restored_at_ms = set()
    for seed in range(20):
        idle_timeout, now_ms = IdleTimeout(ConnectionSettings(idle_timeout_s=8.0), None, seed), 0.0
        for _ in range(8):
            now_ms += MIN_CUT_INTERVAL_MS
            idle_timeout.connection_rejected(now_ms)
        while idle_timeout.idle_timeout_ms(now_ms) == 0.0:
            now_ms += 100.0
        restored_at_ms.add(now_ms)
        while idle_timeout.idle_timeout_ms(now_ms) < 8000.0:
            now_ms += 1000.0
            assert now_ms < 10 * (1 + RESTORE_JITTER) * RESTORE_DELAY_MS
        assert any("as stated again" in text for text in idle_timeout.take_log_lines())
    assert len(restored_at_ms) > 10


def test_a_shorter_timeout_of_endpoints_bounds_the_idle_timeout() -> None:
    assert IdleTimeout(ConnectionSettings(idle_timeout_s=8.0), 3000.0).idle_timeout_ms(0.0) == 3000.0


def test_thousands_of_denied_dials_are_logged_a_few_times() -> None:
    idle_timeout, line_count = IdleTimeout(ConnectionSettings(max_dials_per_s=0.1), None), 0
    for step in range(5000):  # 30 s
        idle_timeout.may_dial(step * 6.0)
        line_count += len(idle_timeout.take_log_lines())
    assert 1 <= line_count <= 3


def test_the_restored_timeout_is_logged_without_another_rejection(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")
    run_requests(
        IdleTimeout(ConnectionSettings(idle_timeout_s=2.0), None),
        [CONNECTION_REJECTED, OK_ANSWER, OK_ANSWER, OK_ANSWER],
        40.0,
    )
    texts = [record.getMessage() for record in caplog.records]
    assert (
        sum("is reduced" in text for text in texts) == sum("as stated again" in text for text in texts) == 1
    )


EVENTS = st.lists(st.tuples(st.floats(0, 30_000), st.sampled_from(["away", "open", "look"])), max_size=120)


@fixed_draws("the_bounds_hold_as_counts_over_any_course")
@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.floats(0, 60), st.floats(0.1, 50), st.integers(0, 9), EVENTS)
def test_timeout_and_dials_stay_within_bounds_for_any_events(
    idle_timeout_s: float, per_s: float, seed: int, events: list[tuple[float, str]]
) -> None:
    idle_timeout = IdleTimeout(ConnectionSettings(idle_timeout_s, max_dials_per_s=per_s), None, seed)
    now_ms, dialed, last_ms = 0.0, 0, idle_timeout.stated_timeout_ms
    for elapsed_ms, kind in events:
        now_ms += elapsed_ms
        before_ms = idle_timeout.idle_timeout_ms(now_ms)
        assert 0.0 <= before_ms <= idle_timeout.stated_timeout_ms == 1000.0 * idle_timeout_s
        if kind == "away":
            idle_timeout.connection_rejected(now_ms)
            assert idle_timeout.idle_timeout_ms(now_ms) <= before_ms
        elif kind == "open":
            dialed += idle_timeout.may_dial(now_ms)
            assert dialed <= max(1.0, 2 * per_s) + per_s * now_ms / 1000.0 + 1e-6
        last_ms = idle_timeout.idle_timeout_ms(now_ms)
    # Without further rejections the stated timeout is restored.
    now_ms += 10 * (1 + RESTORE_JITTER) * RESTORE_DELAY_MS
    assert idle_timeout.idle_timeout_ms(now_ms) == idle_timeout.stated_timeout_ms >= last_ms


def run_requests(
    idle_timeout: IdleTimeout | None, script: list[bytes], apart_s: float
) -> tuple[list[Outcome], int, int]:
    """Sends requests to one host, `apart_s` seconds apart; the script has the host's answers in order.

    Returns the outcomes, the number of connections that the host accepted, and the number left open.
    """
    scheduler = Scheduler()
    loop = scheduler.new_loop("proxy")
    network = MemoryNetwork(loop)
    accepted: list[asyncio.BaseTransport] = []
    answers = iter(script)

    class Host(asyncio.Protocol):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            self.transport = transport
            accepted.append(transport)

        def data_received(self, data: bytes) -> None:
            cast(asyncio.Transport, self.transport).write(next(answers))

    async def main() -> tuple[list[Outcome], int, int]:
        host = network.listen(loop, Host, ("127.0.0.1", 0))
        upstream = UpstreamPool(
            Limits(connection_idle_timeout_ms=60_000.0), (), 1000.0, 10, network.socket, idle_timeout
        )
        upstream.update_endpoint("h", host.address, None, True)
        ended: list[AttemptResult] = []
        for _ in script:
            request = ClientRequest(b"POST", b"/c/1", [], b"", clock.now_ms(), "c")
            assert upstream.start_attempt(request, "h", 5000.0, ended.append) is not None
            await asyncio.sleep(apart_s)
        return [each.outcome for each in ended], len(accepted), upstream.open_connections

    with clock.use_clock(scheduler.time, scheduler.time):
        return scheduler.run(loop, main(), 600.0)


OK_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CONNECTION_REJECTED = b"HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


QUEUE_FULL = b"HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"


def test_a_connection_is_kept_for_the_stated_timeout_and_no_longer() -> None:
    stated = ConnectionSettings(idle_timeout_s=2.0)
    assert run_requests(IdleTimeout(stated, None), [OK_ANSWER] * 4, 1.0)[1:] == (1, 1)
    assert run_requests(IdleTimeout(stated, None), [OK_ANSWER] * 4, 3.0)[1:] == (4, 0)
    assert run_requests(None, [OK_ANSWER] * 4, 3.0)[1:] == (1, 1)


def test_rejected_connections_lead_to_one_connection_for_each_request() -> None:
    idle_timeout = IdleTimeout(ConnectionSettings(idle_timeout_s=2.0), None)
    outcomes, accepted, left_open = run_requests(
        idle_timeout, [CONNECTION_REJECTED] * 8 + [OK_ANSWER] * 4, 0.3
    )
    assert outcomes == [Outcome.REJECTED] * 8 + [Outcome.OK] * 4
    assert accepted == 12
    assert left_open == 0


def test_a_rejection_for_a_full_queue_does_not_cut_the_timeout() -> None:
    idle_timeout = IdleTimeout(ConnectionSettings(idle_timeout_s=2.0), None)
    assert run_requests(idle_timeout, [QUEUE_FULL] * 8 + [OK_ANSWER] * 4, 0.3)[1:] == (1, 1)
    assert not idle_timeout.take_log_lines()


def test_a_rejection_on_a_used_connection_does_not_cut_the_timeout() -> None:
    idle_timeout = IdleTimeout(ConnectionSettings(idle_timeout_s=2.0), None)
    outcomes, accepted, _ = run_requests(idle_timeout, [OK_ANSWER, CONNECTION_REJECTED] * 3, 0.3)
    assert outcomes == [Outcome.OK, Outcome.REJECTED] * 3
    assert accepted == 3
    assert not idle_timeout.take_log_lines()
    assert idle_timeout.idle_timeout_ms(1e6) == 2000.0


def test_a_timeout_of_zero_closes_connections_after_each_answer() -> None:
    outcomes, accepted, left_open = run_requests(
        IdleTimeout(ConnectionSettings(idle_timeout_s=0.0), None), [OK_ANSWER] * 3, 0.01
    )
    assert outcomes == [Outcome.OK] * 3
    assert accepted == 3
    assert left_open == 0


def test_attempts_that_may_not_dial_are_not_sent() -> None:
    stated = ConnectionSettings(idle_timeout_s=0.0, max_dials_per_s=0.5)
    outcomes, accepted, _ = run_requests(IdleTimeout(stated, None), [OK_ANSWER] * 6, 0.4)
    assert outcomes[0] is Outcome.OK
    assert Outcome.NOT_SENT in outcomes
    assert set(outcomes) <= {Outcome.OK, Outcome.NOT_SENT}
    assert accepted == outcomes.count(Outcome.OK) <= 3


def test_open_connections_stay_within_the_stated_limit() -> None:
    idle_timeout = IdleTimeout(ConnectionSettings(max_connections=1), None)
    outcomes, _, left_open = run_requests(idle_timeout, [OK_ANSWER] * 3, 0.0)
    assert left_open <= 1
    assert outcomes.count(Outcome.CONNECT_FAILED) >= 1


@pytest.mark.parametrize("text", ["rest_s = -1", "most = 0", "opens_per_s = 0", "rest = 3", "rest_s = true"])
def test_a_bad_connections_table_is_rejected_with_line_and_key(text: str) -> None:
    with pytest.raises(TomlError) as raised:
        parse_operators(f"[connections]\n{text}\n", "own.toml")
    assert "own.toml:2:" in str(raised.value)
    assert text.split()[0] in str(raised.value)


def test_the_connections_table_is_read() -> None:
    connection_settings = parse_operators(
        "[connections]\nrest_s = 2\nmost = 30\nopens_per_s = 5\n", "own.toml"
    ).connections
    assert connection_settings == ConnectionSettings(2.0, 30, 5.0)
    assert NO_FEATURES.connections is None


def make_calm_scenario(
    proxies: int, connection_limit: int, length_s: float = 40.0, rate: float = 40.0
) -> Scenario:
    """A scenario without faults, at less than a tenth of the servers' capacity."""
    scenario = load_scenario(SCENARIO_PATH)
    clients = replace(scenario.clients, proxies=proxies, rate_per_s=rate)
    kinds = tuple(replace(kind, max_connections=connection_limit) for kind in scenario.server_types)
    return replace(scenario, duration_s=length_s, faults=(), clients=clients, server_types=kinds)


def connection_counts(result: SimulationResult) -> list[int]:
    """Connections at all servers together, for each sample."""
    samples = zip(*result.event_log.samples.values(), strict=True)
    return [sum(each.connections for each in sample) for sample in samples]


def test_many_instances_with_little_load_leave_connections_to_each_other() -> None:
    scenario = make_calm_scenario(120, 20)
    with_timeout = simulate(
        scenario, operators=OperatorSettings(connections=ConnectionSettings(idle_timeout_s=2.0))
    )
    without_timeout = simulate(scenario)
    assert build_report(without_timeout).served_share < 0.97  # without the timeout the scenario has the fault
    report = build_report(with_timeout)
    assert report.served_share > 0.99
    assert report.worst_window > 0.98
    assert not report.broken
    assert max(connection_counts(with_timeout)) < 0.8 * 9 * 20 <= max(connection_counts(without_timeout))


def test_instances_shorten_a_stated_timeout_that_is_too_long() -> None:
    scenario = make_calm_scenario(120, 20, length_s=50.0)
    with_timeout = simulate(
        scenario, operators=OperatorSettings(connections=ConnectionSettings(idle_timeout_s=600.0))
    )
    without_timeout = simulate(scenario)
    report, report_without = build_report(with_timeout), build_report(without_timeout)
    assert report.served_share > report_without.served_share + 0.02
    assert not report.broken
    assert report.fates["turned away"] < 0.6 * report_without.fates["turned away"]
