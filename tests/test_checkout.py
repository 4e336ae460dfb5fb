"""Checkouts of other versions: the deploy file names their package, and they run beside this version."""

from __future__ import annotations

import asyncio
import shutil
from pathlib import Path

import pytest

from client_proxy.checkout import CheckoutError, package_name
from client_proxy.emulator.compare import compare, read_side
from client_proxy.fault_injection import scenario_runner
from client_proxy.fault_injection.plan import FleetTable, LoadTable, Plan
from tests.support.days import day

ROOT = Path(__file__).resolve().parents[1]
OTHER_PACKAGE = "package_of_another_version"


@pytest.fixture
def other_version(tmp_path: Path) -> Path:
    """A checkout whose package has another name, both in its modules and in its deploy file."""
    checkout = tmp_path / "other"
    package = package_name(ROOT)
    shutil.copytree(ROOT / package, checkout / OTHER_PACKAGE, ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copytree(ROOT / "deploy", checkout / "deploy")
    for file in [*checkout.rglob("*.py"), checkout / "deploy" / "balancer.toml"]:
        file.write_text(file.read_text().replace(package, OTHER_PACKAGE))
    return checkout


def write_deploy_file(checkout: Path, text: str) -> Path:
    (checkout / "deploy").mkdir(parents=True)
    (checkout / "deploy" / "balancer.toml").write_text(text)
    return checkout


def test_package_name_is_read_from_the_deploy_file(other_version: Path) -> None:
    assert package_name(other_version) == OTHER_PACKAGE
    assert (ROOT / package_name(ROOT) / "proxy" / "__main__.py").is_file()


@pytest.mark.parametrize(
    ("text", "expected_message"),
    [
        ("run = ", "Invalid value"),
        ('run = "exec something"\n', "run names no proxy module"),
        ('run = "python -m absent.proxy"\n', "absent/proxy is missing"),
        ('run = "python -m absent.proxyless"\n', "run names no proxy module"),
    ],
)
def test_folder_without_a_startable_build_is_refused_with_the_reason(
    text: str, expected_message: str, tmp_path: Path
) -> None:
    checkout = write_deploy_file(tmp_path / "checkout", text)
    with pytest.raises(CheckoutError, match=expected_message) as raised:
        package_name(checkout)
    assert str(raised.value).startswith(str(checkout))


def test_a_folder_without_a_deploy_file_is_refused(tmp_path: Path) -> None:
    with pytest.raises(CheckoutError, match=r"no build in it: deploy/balancer\.toml"):
        package_name(tmp_path)


def test_two_versions_are_compared_on_one_scenario(other_version: Path) -> None:
    sides = (read_side(str(other_version)), read_side(str(ROOT)))
    result = compare(sides, day(length_s=2.0), [1], "virtual", 2, lambda line: None)
    assert result["figures"]["served_share"]["a"]["mean"] > 0.9
    assert result["figures"]["connections"]["b_minus_a"]["mean"] == 0.0


def test_two_versions_serve_side_by_side_in_one_fleet(other_version: Path, tmp_path: Path) -> None:
    plan = Plan(
        name="two-versions",
        length_s=2.0,
        fleet=FleetTable(instances=3, racks=3, others={"i1": str(other_version)}),
        load=LoadTable(rate=10),
    )
    verdict = asyncio.run(scenario_runner.run(plan, tmp_path / "out"))
    assert verdict.outcome == "passed", (verdict.why, verdict.breaches[:3])
