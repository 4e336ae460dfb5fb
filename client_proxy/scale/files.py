"""Writes the configuration of a scale run: the first policy, and each instance's settings and keys."""

from __future__ import annotations

import base64
import re
from pathlib import Path

from client_proxy.emulator.simulated_keys import derive_secret
from client_proxy.fault_injection.load import KEYED, UNSAFE
from client_proxy.membership.keys import Ed25519, format_keyring, issue_certificate, write_private_file
from client_proxy.scale.plan import ScalePlan
from client_proxy.scale.topology import Layout, Placement, Role

FIRST_POLICY_NAME = "policy.toml"
INSTANCE_FILE_NAME = "serve.toml"
VERSIONS_FOLDER = "kept"  # in an instance's folder; holds the policy versions that it keeps
GOSSIP_SEEDS = 3  # gossip seeds that each instance is given
WEIGHT_STEPS = 997  # weights that changes cycle through, so that each differs from the one before


def server_name(plan: ScalePlan, number: int) -> str:
    """Returns a server's name, made of its service and index; servers are assigned to services in turn."""
    return f"s{number % plan.policy.services}-{number // plan.policy.services}"


def first_policy(plan: ScalePlan, addresses: list[str]) -> str:
    """Returns the text of version 1 of the policy. `addresses` has one address per server name."""
    zones = [zone for region in plan.region for zone in region.zones]
    lines: list[str] = []
    for number in range(plan.policy.servers):
        lines += [
            "[[server]]",
            f'name = "{server_name(plan, number)}"',
            f'address = "{addresses[number]}"',
            f'hall = "{zones[number % len(zones)]}"',
            f"rack = {number % 50}",
            "warm = true",
            "weight = 1.0",
            "",
        ]
    return "\n".join(lines)


def change_policy(text: str, service: int, number: int) -> str:
    """Returns the policy with another weight for the first server of the service.

    Raises:
        ValueError: the service has no server in the policy."""
    pattern = rf'(name = "s{service}-0"\n(?:.*\n)*?weight = )[\d.]+'
    weight = 1.0 + (1 + number % WEIGHT_STEPS) / 1000.0
    changed, count = re.subn(pattern, rf"\g<1>{weight:.3f}", text, count=1)
    if not count:
        raise ValueError(f"service {service} has no server in the policy")
    return changed


class InstanceFiles:
    """Writes the files of the instances, each into a folder of its own."""

    def __init__(self, plan: ScalePlan, layout: Layout, shared: Path, sockets: Path) -> None:
        """The first policy lies in the folder `shared`, the control sockets in the folder `sockets`.

        `sockets` should be a short path: the path of a Unix socket is limited to 108 bytes."""
        self._plan, self._layout, self.first_policy_path, self._sockets = (
            plan,
            layout,
            shared / FIRST_POLICY_NAME,
            sockets,
        )
        self._authority = Ed25519(derive_secret(plan.seed, "authority"))
        self._seats = "\n".join(
            self._seat(placement) for placement in layout.placements if placement.role is Role.CONTROL
        )

    def _secret(self, placement: Placement) -> bytes:
        return derive_secret(self._plan.seed, f"member {placement.member}")

    def _seat(self, placement: Placement) -> str:
        public = base64.b64encode(Ed25519(self._secret(placement)).public_key).decode()
        return (
            f'[[agreement.seat]]\nmember = {placement.member}\naddress = "{placement.agreement_address}"\n'
            f'public = "{public}"\nvotes = true'
        )

    def control_socket(self, name: str) -> Path:
        """Returns the path of the control socket of the instance with that name."""
        return self._sockets / f"{name}.sock"

    def write(self, placement: Placement, home: Path, listen: str) -> Path:
        """Writes the files of one instance into `home` and returns the path of its settings file.

        `listen` is the address that its applications connect to."""
        home.mkdir(parents=True, exist_ok=True)
        if placement.role is not Role.PLAIN:
            self._write_keys(placement, home)
        operators = self._write_operators(placement, home)
        path = home / INSTANCE_FILE_NAME
        path.write_text(self._instance_text(placement, listen, operators))
        return path

    def _write_keys(self, placement: Placement, home: Path) -> None:
        secret = self._secret(placement)
        card = issue_certificate(
            self._authority, 1, placement.member, placement.zone, 1, Ed25519(secret).public_key
        )
        groups = {1: derive_secret(self._plan.seed, "group 1")}
        text = format_keyring(card, placement.zone, secret, groups, {1: self._authority.public_key})
        write_private_file(home / "own.keys", text)

    def _write_operators(self, placement: Placement, home: Path) -> bool:
        if not self._plan.hollow.gossip or placement.role is Role.PLAIN:
            return False
        seeds = ", ".join(f'"{each.gossip_address}"' for each in self._layout.placements[:GOSSIP_SEEDS])
        keys = home / "own.keys"
        (home / "operators.toml").write_text(
            f'[gossip]\nkeys = "{keys}"\nlisten = "{placement.gossip_address}"\nseeds = [{seeds}]\n'
        )
        return True

    def _instance_text(self, placement: Placement, listen: str, operators: bool) -> str:
        plan = self._plan
        real = max(1, plan.real.instances + plan.real.plain)
        ordinal = placement.member % real
        lines = [
            f'name = "{placement.name}"',
            f'listen = "{listen}"',
            f'hall = "{placement.zone}"',
            f"instances = {real}",
            f"ordinal = {ordinal}",
        ]
        lines += (
            [f'control = "{self.control_socket(placement.name)}"']
            if placement.role is not Role.FOLLOWER
            else []
        )
        lines += ['operators = "operators.toml"'] if operators else []
        lines += [
            "[log]",
            'form = "json"',
            "per_event_per_s = 1000",
            self._policy_source_text(placement),
            self._class_tables(),
        ]
        return "\n".join(lines)

    def _policy_source_text(self, placement: Placement) -> str:
        if placement.role is Role.PLAIN:
            return f'[servers]\nfile = "{self.first_policy_path}"'
        return (
            f'[agreement]\nkeys = "own.keys"\nlisten = "{placement.agreement_address}"\n'
            f'first = "{self.first_policy_path}"\nkeep = "{VERSIONS_FOLDER}"\n'
            f"lease_ms = {self._plan.lease_ms}\n{self._seats}"
        )

    def _class_tables(self) -> str:
        deadline = self._plan.real.deadline_ms
        times = f"aim_ms = {0.6 * deadline}\ndeadline_ms = {deadline}"
        return (
            f'[[class]]\nname = "{KEYED}"\neffect = "keyed"\ngroup = "cell"\nwindow_ms = 1200.0\n{times}\n'
            f'worth = 3\n[[class]]\nname = "{UNSAFE}"\neffect = "unsafe"\n{times}\nworth = 10\n'
        )
