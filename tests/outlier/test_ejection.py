"""Which servers and zones the outlier detector ejects, without a balancer."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from client_proxy.api.events import EndpointState, Outcome
from client_proxy.outlier.ejection import OutlierDetector
from tests.driver import endpoint
from tests.outlier.detectors import FLEET, ZONES, make_detector


def ejected_in(detector: OutlierDetector, zone: str) -> set[str]:
    return {name for name in detector.ejected if name.startswith(zone)}


def test_zone_is_ejected_when_three_of_its_servers_do_not_respond(detector: OutlierDetector) -> None:
    for number in range(2):
        detector.attempt_ended(100.0 + number, f"b{number}", Outcome.CONNECT_FAILED, 0.0)
    assert not detector.ejected
    detector.attempt_ended(103.0, "b2", Outcome.CONNECT_FAILED, 0.0)
    assert detector.ejected == {f"b{number}" for number in range(6)}
    assert any("ejected" in line for line in detector.log_lines)


def test_zone_that_responds_is_never_ejected(detector: OutlierDetector) -> None:
    # A quarter of the attempts time out; the zone's servers answer the rest.
    for step in range(400):
        is_lost = step % 4 == 0
        detector.attempt_ended(step * 10.0, f"b{step % 6}", Outcome.TIMEOUT if is_lost else Outcome.OK, 0.0)
        assert len(ejected_in(detector, "b")) <= 1


def test_timeouts_weigh_half(detector: OutlierDetector) -> None:
    for number in range(4):
        detector.attempt_ended(100.0 + number, f"b{number}", Outcome.TIMEOUT, 0.0)
    assert not detector.ejected
    detector.attempt_ended(106.0, "b4", Outcome.TIMEOUT, 0.0)
    assert ejected_in(detector, "b") == {f"b{number}" for number in range(6)}


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.ERROR, Outcome.REJECTED])
def test_any_response_restores_the_zone(detector: OutlierDetector, outcome: Outcome) -> None:
    for number in range(3):
        detector.attempt_ended(100.0 + number, f"b{number}", Outcome.CONNECT_FAILED, 0.0)
    detector.attempt_ended(900.0, "b4", outcome, 0.0)
    assert not detector.ejected


def test_single_server_is_ejected_after_two_failures_in_a_row(detector: OutlierDetector) -> None:
    detector.attempt_ended(0.0, "a0", Outcome.CONNECT_FAILED, 0.0)
    detector.attempt_ended(1.0, "a0", Outcome.OK, 0.0)
    detector.attempt_ended(2.0, "a0", Outcome.CONNECT_FAILED, 0.0)
    assert not detector.ejected
    detector.attempt_ended(3.0, "a0", Outcome.CONNECT_FAILED, 0.0)
    assert detector.ejected == {"a0"}


def test_failures_long_apart_eject_nothing(detector: OutlierDetector) -> None:
    for step in range(60):
        detector.attempt_ended(step * 5000.0, f"b{step % 6}", Outcome.CONNECT_FAILED, 0.0)
        assert not detector.ejected


def test_recovery_probes_back_off_and_go_to_ejected_servers(detector: OutlierDetector) -> None:
    for number in range(3):
        detector.attempt_ended(0.0, f"b{number}", Outcome.CONNECT_FAILED, 0.0)
    at_ms, probed_ms = 0.0, []
    while at_ms < 30_000.0:
        at_ms += 20.0
        server = detector.choose_probe(at_ms, is_idempotent=True)
        if server:
            assert server in detector.ejected
            probed_ms.append(at_ms)
            detector.attempt_ended(at_ms + 10.0, server, Outcome.CONNECT_FAILED, 0.0)
    assert 6 <= len(probed_ms) <= 16
    assert probed_ms[0] >= 500.0
    assert probed_ms[-1] - probed_ms[-2] >= 2000.0


def test_request_that_is_not_idempotent_probes_late(detector: OutlierDetector) -> None:
    for number in range(3):
        detector.attempt_ended(0.0, f"b{number}", Outcome.CONNECT_FAILED, 0.0)
    assert not detector.choose_probe(4000.0, is_idempotent=False)
    assert detector.choose_probe(5600.0, is_idempotent=False)


def test_nothing_is_ejected_when_most_of_the_fleet_would_be(detector: OutlierDetector) -> None:
    for zone in ZONES:
        for number in range(3):
            detector.attempt_ended(0.0, f"{zone}{number}", Outcome.CONNECT_FAILED, 0.0)
    assert not detector.ejected
    detector.attempt_ended(5.0, "a0", Outcome.OK, 0.0)
    assert ejected_in(detector, "b")
    assert ejected_in(detector, "c")
    assert not ejected_in(detector, "a")


def test_new_process_is_another_server(detector: OutlierDetector) -> None:
    detector.attempt_ended(0.0, "a0", Outcome.CONNECT_FAILED, 0.0)
    detector.attempt_ended(1.0, "a0", Outcome.CONNECT_FAILED, 0.0)
    assert detector.ejected == {"a0"}
    detector.update_endpoints([endpoint("a0", zone="a", started_ms=7.0), *FLEET[1:]])
    assert not detector.ejected


def test_timeouts_of_requests_sent_before_a_response_eject_nothing(detector: OutlierDetector) -> None:
    """A zone that responds again must not be ejected for earlier requests."""
    detector.attempt_ended(10_000.0, "b5", Outcome.OK, 100.0)
    detector.attempt_ended(10_000.0, "b0", Outcome.OK, 100.0)
    for number in range(5):
        detector.attempt_ended(10_100.0 + number, f"b{number}", Outcome.TIMEOUT, 2000.0)
    for _ in range(3):
        # This attempt was sent before the server's last response.
        detector.attempt_ended(10_200.0, "b0", Outcome.CONNECT_FAILED, 250.0)
    assert not detector.ejected
    for number in range(5):
        detector.attempt_ended(12_200.0 + number, f"b{number}", Outcome.TIMEOUT, 2000.0)
    assert ejected_in(detector, "b")


def test_overdue_responses_count_before_their_timeout(detector: OutlierDetector) -> None:
    for step in range(20):
        detector.attempt_sent(step * 10.0, "a0")
        detector.attempt_ended(step * 10.0 + 100.0, "a0", Outcome.OK, 100.0)
    for number in range(5):
        detector.attempt_sent(1000.0 + number, f"b{number}")
    assert not detector.choose_probe(1300.0, is_idempotent=True)
    assert not detector.ejected
    detector.choose_probe(1410.0, is_idempotent=True)
    assert ejected_in(detector, "b")
    for number in range(5):  # the timeouts of overdue attempts don't count again
        detector.attempt_ended(3000.0 + number, f"b{number}", Outcome.TIMEOUT, 2000.0)
    assert all(not state.outstanding_ms and not state.overdue_count for state in detector._servers.values())


def test_state_is_bounded_without_any_response(detector: OutlierDetector) -> None:
    for step in range(5000):
        detector.attempt_sent(step * 100.0, FLEET[step % 18].name)
        detector.attempt_ended(step * 100.0 + 5.0, FLEET[step % 18].name, Outcome.CONNECT_FAILED, 5.0)
        detector.choose_probe(step * 100.0 + 6.0, is_idempotent=True)
    assert len(detector._sent) < 50


def test_ended_attempts_leave_no_state(detector: OutlierDetector) -> None:
    for step in range(5000):
        server = FLEET[step % 18].name
        detector.attempt_sent(step * 10.0, server)
        outcome = (Outcome.OK, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)[step % 4]
        detector.attempt_ended(step * 10.0 + 5.0, server, outcome, 5.0)
        detector.choose_probe(step * 10.0 + 6.0, is_idempotent=True)
    detector.choose_probe(1e6, is_idempotent=True)
    assert not detector._sent
    assert all(not state.outstanding_ms and not state.overdue_count for state in detector._servers.values())


def test_restored_zone_is_restored_whole_and_one_failure_ejects_a_server_of_it_again(
    detector: OutlierDetector,
) -> None:
    for number in range(3):
        detector.attempt_ended(100.0 + number, f"b{number}", Outcome.CONNECT_FAILED, 0.0)
        detector.attempt_ended(110.0 + number, f"b{number}", Outcome.CONNECT_FAILED, 0.0)
    detector.attempt_ended(900.0, "b4", Outcome.OK, 0.0)
    assert not detector.ejected
    detector.attempt_ended(950.0, "b0", Outcome.CONNECT_FAILED, 0.0)
    assert detector.ejected == {"b0"}


def test_zone_in_which_a_process_starts_is_restored(detector: OutlierDetector) -> None:
    """A zone that is back with new processes gets requests before the next probe."""
    for number in range(3):
        detector.attempt_ended(0.0, f"b{number}", Outcome.CONNECT_FAILED, 0.0)
    new_process = endpoint("b9", zone="b", started_ms=7.0)
    detector.update_endpoints([*FLEET, new_process])
    assert not detector.ejected
    detector.update_endpoints([*FLEET, new_process])
    for number in range(3):
        detector.attempt_ended(10.0, f"b{number}", Outcome.CONNECT_FAILED, 0.0)
    detector.update_endpoints([*FLEET, new_process])  # this process is known, so it restores nothing
    assert ejected_in(detector, "b")


def test_unlisted_servers_leave_no_state() -> None:
    detector = make_detector([])
    for step in range(5000):
        zone = f"h{step}"
        detector.update_endpoints([endpoint(f"s{step}", zone=zone)])
        detector.attempt_ended(step * 10.0, f"s{step}", Outcome.CONNECT_FAILED, 0.0)
        detector.attempt_ended(step * 10.0 + 1.0, f"s{step}", Outcome.CONNECT_FAILED, 0.0)
    detector.update_endpoints([])
    assert len(detector) == 0
    assert not detector.ejected
    assert not detector._zones


OUTCOMES = st.sampled_from([*Outcome])


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 17), OUTCOMES, st.integers(0, 2000), st.booleans()), min_size=1, max_size=80
    ),
    st.floats(0.0, 1.0),
)
def test_ejected_servers_are_ready_and_within_the_limit(
    steps: list[tuple[int, Outcome, int, bool]], max_ejected_share: float
) -> None:
    detector = make_detector(max_ejected_share=max_ejected_share)
    ejected = detector.ejected
    fleet, now_ms = list(FLEET), 0.0
    for number, outcome, wait_ms, is_draining in steps:
        now_ms += wait_ms
        detector.attempt_ended(now_ms, fleet[number].name, outcome, 0.0)
        if is_draining:
            listed = fleet[number]
            fleet[number] = endpoint(listed.name, listed.zone, state=EndpointState.DRAINING)
            detector.update_endpoints(fleet)
        ready = {listed.name for listed in fleet if listed.state is EndpointState.READY}
        assert detector.ejected is ejected
        assert ejected <= ready
        assert len(ejected) <= max_ejected_share * len(ready)
        probed_server = detector.choose_probe(now_ms, is_idempotent=True)
        assert not probed_server or probed_server in ejected


def test_zone_with_one_server_is_ejected_and_restored_with_it() -> None:
    fleet = [endpoint("a0", zone="a"), endpoint("b0", zone="b"), endpoint("c0", zone="c")]
    detector = make_detector(fleet)
    for at_ms in (0.0, 10.0):
        detector.attempt_ended(at_ms, "b0", Outcome.CONNECT_FAILED, 0.0)
    assert detector.ejected == {"b0"}
    detector.attempt_ended(900.0, "b0", Outcome.OK, 0.0)
    assert not detector.ejected
