"""Outlier ejection under the balancer, its settings, and its use together with other hooks."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from client_proxy.api.events import AttemptEnded, EndpointsListed, EndpointState, ListKind, Outcome
from client_proxy.api.policy_hook import BalancerHook, CompositeHook, PickContext
from client_proxy.balancer.balancer import Balancer
from client_proxy.operators import OperatorSettings, parse_operators
from client_proxy.outlier.ejection_hook import EjectionHook
from client_proxy.outlier.settings import OutlierSettings
from client_proxy.toml_table import TomlError
from tests.driver import SETTINGS, Driver, endpoint

FLEET = [endpoint(f"{zone}{number}", zone=zone, cell=number % 4) for zone in "abc" for number in range(20)]
BALANCER_SETTINGS = replace(SETTINGS, proxies=120, report_fields=("inflight", "queue", "latency_ms"))


def make_driver(outlier_settings: OutlierSettings | None, seed: int = 1, ordinal: int = 0) -> Driver:
    settings = replace(BALANCER_SETTINGS, ordinal=ordinal)
    driver = Driver(settings, (), seed)
    driver.balancer = Balancer(
        settings, seed, OperatorSettings(reach=outlier_settings).balancer_hook(settings, seed)
    )
    driver.handle_events(EndpointsListed(ListKind.FULL, tuple(FLEET)))
    return driver


DEFAULTS = OutlierSettings()


def send_requests(
    driver: Driver, count: int, unreachable_zones: str, class_name: str = "safe"
) -> Counter[str]:
    """Send requests while these zones cannot be reached; return the number of attempts by zone."""
    sent_by_zone: Counter[str] = Counter()
    for _ in range(count):
        request, _ = driver.request(class_name)
        while request in driver.sent and len(driver.sent[request]) > 0:
            server = driver.sent[request][-1]
            number = len(driver.sent[request]) - 1
            sent_by_zone[server[0]] += 1
            driver.wait(20.0)
            is_unreachable = server[0] in unreachable_zones
            outcome = Outcome.CONNECT_FAILED if is_unreachable else Outcome.OK
            driver.handle_events(AttemptEnded(request, number, outcome, 20.0, answered=not is_unreachable))
            if not is_unreachable:
                break
            driver.wait(300.0)
            if len(driver.sent[request]) == number + 1:
                break
        driver.wait(20.0)
    return sent_by_zone


def test_lost_zones_cost_few_requests() -> None:
    with_ejection = send_requests(make_driver(DEFAULTS), 300, "bc", "unsafe")
    assert with_ejection["b"] + with_ejection["c"] <= 22
    without_ejection = send_requests(make_driver(None), 300, "bc", "unsafe")
    assert without_ejection["b"] + without_ejection["c"] > 1.5 * (with_ejection["b"] + with_ejection["c"])


def test_zone_that_is_back_is_found_by_a_recovery_probe() -> None:
    driver = make_driver(DEFAULTS)
    send_requests(driver, 100, "bc")
    hook = driver.balancer.hook
    assert isinstance(hook, EjectionHook)
    assert hook.ejected
    send_requests(driver, 300, "none")
    assert not hook.ejected


def test_draining_servers_are_not_probed() -> None:
    """A recovery probe must not go to a draining server."""
    driver = make_driver(DEFAULTS)
    send_requests(driver, 60, "bc")
    hook = driver.balancer.hook
    assert isinstance(hook, EjectionHook)
    assert hook.ejected
    draining = [
        replace(listed, state=EndpointState.DRAINING) if listed.zone in "bc" else listed for listed in FLEET
    ]
    driver.handle_events(EndpointsListed(ListKind.DELTA, tuple(draining)))
    before = len(driver.sent)
    send_requests(driver, 200, "bc")
    sent_later = [server for servers in list(driver.sent.values())[before:] for server in servers]
    assert sent_later
    assert not any(server[0] in "bc" for server in sent_later)


class FixedEjections(BalancerHook):
    """A hook that ejects one zone and names one server to probe."""

    def __init__(self, zone: str, probe_target: str = "") -> None:
        self.ejected = {listed.name for listed in FLEET if listed.zone == zone}
        self.probe_target = probe_target

    def recovery_probe_target(self, now_ms: float, context: PickContext) -> str:
        return self.probe_target


def make_driver_with_hook(hook: BalancerHook, proxies: int) -> Driver:
    settings = replace(BALANCER_SETTINGS, proxies=proxies)
    driver = Driver(settings, ())
    driver.balancer = Balancer(settings, 1, hook)
    driver.handle_events(EndpointsListed(ListKind.FULL, tuple(FLEET)))
    return driver


@pytest.mark.parametrize("proxies", [3, 120])
def test_ejected_servers_get_nothing_in_small_and_large_pools(proxies: int) -> None:
    driver = make_driver_with_hook(FixedEjections("a"), proxies)
    driver.serve(300)
    assert not any(server.startswith("a") for servers in driver.sent.values() for server in servers)


def test_other_servers_replace_ejected_ones() -> None:
    driver = make_driver_with_hook(FixedEjections("a"), 120)
    pool = driver.balancer.endpoint_set.local
    in_use = pool.endpoints_in_use(driver.now_ms)
    assert len(in_use) == pool.subset_size
    assert not any(used.listed.zone == "a" for used in in_use)


def test_named_probe_target_that_drains_gets_nothing() -> None:
    """A recovery probe must not go to a draining server."""
    driver = make_driver_with_hook(FixedEjections("a", "a0"), 120)
    driver.serve(1)
    assert driver.sent[1] == ["a0"]
    draining = [
        replace(listed, state=EndpointState.DRAINING) if listed.name == "a0" else listed for listed in FLEET
    ]
    driver.handle_events(EndpointsListed(ListKind.FULL, tuple(draining)))
    driver.serve(20)
    assert not any("a0" in servers for servers in list(driver.sent.values())[1:])


def test_next_servers_on_the_ring_differ_between_instances() -> None:
    """Instances whose servers are in a lost zone must not all choose the same few servers instead."""
    use_counts: Counter[str] = Counter()
    for ordinal in range(BALANCER_SETTINGS.proxies):
        driver = make_driver(None, ordinal=ordinal)
        pool = driver.balancer.endpoint_set.local
        for on_ring in pool.ring:
            if on_ring.listed.zone == "b":
                on_ring.paused_until_ms = 1e9
        use_counts.update(used.listed.name for used in pool.endpoints_in_use(1000.0))
    remaining = [listed.name for listed in FLEET if listed.zone != "b"]
    mean = sum(use_counts.values()) / len(remaining)
    assert max(use_counts.values()) < 3 * mean
    assert sum(use_counts[name] > 0 for name in remaining) > 0.9 * len(remaining)


def test_instances_with_little_traffic_warm_up_a_new_server_together() -> None:
    """An instance must not wait until its share is a whole request: nothing would be sent for seconds."""
    early_count = 0
    for seed in range(60):
        driver = Driver(replace(BALANCER_SETTINGS, proxies=12), FLEET[:8], seed)
        driver.serve(40)
        new_server = endpoint("new", started_ms=driver.now_ms)
        driver.handle_events(EndpointsListed(ListKind.FULL, (*FLEET[:8], new_server)))
        pool, began_ms, before = driver.balancer.endpoint_set.local, driver.now_ms, len(driver.sent)
        warming_up = driver.balancer.endpoint_set.endpoints["new"]
        # Time until one instance alone may send a request to the new server.
        saved_ms = 50.0 / pool.slow_start_rate(
            driver.now_ms, warming_up, BALANCER_SETTINGS.safety.slow_start_share
        )
        while driver.now_ms < began_ms + 0.3 * saved_ms:
            driver.serve(1)
        early_count += any(servers[-1] == "new" for servers in list(driver.sent.values())[before:])
    assert 5 <= early_count <= 40


def test_settings_errors_name_file_and_key() -> None:
    assert parse_operators("[reach]\n", "f").reach == OutlierSettings()
    for text, key in (
        ("[reach]\ntrial_s = 0", "trial_s"),
        ("[reach]\nmost_barred = 1.5", "most_barred"),
        ("[reach]\ntrial_s = 9\nlongest_trial_s = 3", "longest_trial_s"),
        ("[reach]\nother = 3", "other"),
    ):
        with pytest.raises(TomlError) as raised:
            parse_operators(text, "f")
        assert key in str(raised.value)
        assert "f:" in str(raised.value)


def test_composite_hook_keeps_ejections() -> None:
    operators = parse_operators("[overload]\n[reach]\n", "f")
    composite = operators.balancer_hook(BALANCER_SETTINGS, 1)
    assert isinstance(composite, CompositeHook)
    hook = next(part for part in composite.hooks if isinstance(part, EjectionHook))
    assert composite.ejected is hook.ejected
    assert composite.limits_concurrency
    assert CompositeHook([BalancerHook(), BalancerHook()]).ejected == frozenset()
