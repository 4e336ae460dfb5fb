"""Small scenarios for tests, as scenario files: a keyed and an unsafe request class, four servers."""

from __future__ import annotations

from client_proxy.emulator.report import Report, build_report
from client_proxy.emulator.scenario import Scenario
from client_proxy.emulator.scenario_reader import parse_scenario
from client_proxy.emulator.simulation import SimulationResult, simulate

KEYED, UNSAFE, SAFE = "extract-issue", "entry-register", "look-up"

CLASSES = f"""
[[class]]
name = "{KEYED}"
share = 0.5
work_ms = 20
aim_ms = 500
deadline_ms = 1200
effect = "keyed"
group = "cell"
window_ms = 1200
worth = 3

[[class]]
name = "{UNSAFE}"
share = 0.5
work_ms = 30
aim_ms = 800
deadline_ms = 1500
effect = "unsafe"
worth = 10
"""

KIND = """
[[kind]]
name = "quad"
cores = 2
queue_per_core = 10
"""

SERVERS = """
[[servers]]
kind = "quad"
hall = "east"
rack = 1
count = 2

[[servers]]
kind = "quad"
hall = "west"
rack = 2
count = 2
"""


def text(
    incidents: str = "",
    length_s: float = 6.0,
    clients: str = "proxies = 2\nrate_per_s = 40",
    kind: str = KIND,
    servers: str = SERVERS,
    classes: str = CLASSES,
    more: str = "",
) -> str:
    """Returns the text of a small scenario file; `more` is inserted before the first table."""
    return (
        f'name = "small"\nlength_s = {length_s}\nseed = 5\nhalls = ["east", "west"]\nwindow_s = 2\n'
        f"{more}\n[clients]\n{clients}\n{kind}{classes}{servers}{incidents}"
    )


def day(**given: object) -> Scenario:
    """Returns a small scenario; the arguments are those of `text`."""
    return parse_scenario(text(**given))  # type: ignore[arg-type]


def simulate_scenario(**given: object) -> tuple[SimulationResult, Report]:
    """Simulates a small scenario on the virtual clock; the arguments are those of `text`."""
    result = simulate(day(**given))
    return result, build_report(result)


def incident(kind: str, at_s: float, **more: object) -> str:
    """Returns the table of one fault of a scenario file; `more` has its further keys."""
    lines = [f'what = "{kind}"', f"at_s = {at_s}"]
    for name, value in more.items():
        toml_value = str(value).replace("'", '"') if not isinstance(value, str) else f'"{value}"'
        lines.append(f"{name} = {toml_value}")
    return "\n[[incident]]\n" + "\n".join(lines) + "\n"


ROUGH_DAY = (
    incident("fail", 0.5, for_s=2.0, servers=["east-1"], share=0.6)
    + incident("freeze", 1.5, for_s=1.0, servers=["west-1"])
    + incident("vanish", 2.0, for_s=1.5, servers=["east-2"])
    + incident("restart", 1.0, for_s=2.0, servers=["west-2"], down_s=0.5)
    + incident("proxy_kill", 3.0, proxies=[1], down_s=0.3)
    + incident("proxy_restart", 3.0, proxies=[0], down_s=0.1)
    + incident("discovery", 2.0, for_s=1.0, mode="reset")
)
"""Incidents of several kinds that overlap in time."""
