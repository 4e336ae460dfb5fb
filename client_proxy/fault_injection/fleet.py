"""The processes of a drill, the links between them, and the files that they read."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import socket
import time
from pathlib import Path
from typing import Any

from client_proxy.checkout import package_name
from client_proxy.config.fleet import seal
from client_proxy.emulator.proxy_settings import proxy_settings
from client_proxy.emulator.scenario import ClientSettings, RequestClassSpec, Scenario, ServerGroup, ServerType
from client_proxy.emulator.scenario_writer import format_scenario
from client_proxy.fault_injection.child_process import ROOT, Child, Helper, RigError
from client_proxy.fault_injection.history import Writer
from client_proxy.fault_injection.load import KEYED, UNSAFE
from client_proxy.fault_injection.plan import FaultTable, Plan

POLL_MS, SETTLE_MS = 100, 200  # period of the file watcher; how long a file must stay unchanged
GOSSIP_PORT = 7946
SERVER_TYPE = ServerType(
    "drill", cores=4, queue_per_core=25.0, max_connections=400, handshake_ms=0.5, idle_timeout_s=60.0
)
DEDUP_WINDOW_MS = 1200.0  # deduplication window of the servers
AGREEMENT_PORT = 7947
UNKNOWN_VERSION = 900  # a version number beyond that of any change in a drill
SERVERS_TABLE = f"""[servers]
file = "servers.toml"
look_ms = {POLL_MS}
settle_ms = {SETTLE_MS}
leaving_share = 0.9
sealed = true
keep = "kept"
"""


_drill_numbers: set[int] = set()  # numbers of the drills that run in this process


def loopback_prefix(drill_number: int = 0) -> str:
    """Return the first three numbers of loopback addresses that belong to this process.

    Args:
        drill_number: Number of the drill in this process; each has addresses of its own.
    """
    pid = os.getpid()
    return f"127.{64 + pid % 64}.{(pid // 64 + 37 * drill_number) % 256}"


def rack_scenario(plan: Plan, racks: tuple[str, ...], halls: bool) -> Scenario:
    """Return the emulator's scenario for the servers of these racks.

    Args:
        plan: The drill's plan.
        racks: The racks.
        halls: Accepted and not used: each rack is a zone of its own.
    """
    classes = (
        RequestClassSpec(
            KEYED, share=1.0, work_ms=plan.load.work_ms, latency_objective_ms=plan.load.deadline_ms * 0.6,
            deadline_ms=plan.load.deadline_ms, effect="keyed", idempotency_scope="cell",
            idempotency_window_ms=DEDUP_WINDOW_MS, priority_weight=3.0,
        ),
        RequestClassSpec(
            UNSAFE, share=1.0, work_ms=plan.load.work_ms, latency_objective_ms=plan.load.deadline_ms * 0.6,
            deadline_ms=plan.load.deadline_ms, effect="unsafe", priority_weight=10.0,
        ),
    )  # fmt: skip
    groups = tuple(ServerGroup("drill", rack, plan.fleet.per_rack, int(rack[1:])) for rack in racks)
    return Scenario(
        name=plan.name, duration_s=3600.0, seed=plan.seed, zones=racks, classes=classes,
        server_types=(SERVER_TYPE,), server_groups=groups,
        clients=ClientSettings(proxies=plan.fleet.instances),
    )  # fmt: skip


class Fleet:
    """The processes of one drill, made inside its event loop.

    Every method that starts a process or sends it an order raises RigError if that fails.
    """

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        # Gossip and agreement have the same ports in all drills, so two drills must not share an address.
        self._drill_number = next(n for n in range(256) if n not in _drill_numbers)
        _drill_numbers.add(self._drill_number)
        self.address_prefix = loopback_prefix(self._drill_number)
        self.history = Writer(folder / "drill.jsonl")
        self.fault_proxy = Helper("wires", folder)
        self.clients = Helper("clients", folder)
        self.discovery = Helper("discovery", folder)
        self.racks = {name: Helper(name, folder) for name in plan.racks()}
        self.instances = {name: Child(name, folder) for name in plan.instances()}
        # By `from>to`, the address that `from` dials to reach `to`.
        self.links: dict[str, tuple[str, int]] = {}
        self.dropped: dict[str, set[str]] = {name: set() for name in plan.instances()}
        self.version = 1
        servers = [server for server in plan.servers() if server not in plan.fleet.without]
        first_version = {
            "servers": servers,
            "attempts": 3,
            "features": plan.fleet.features if plan.fleet.whole else "",
        }
        self.versions: dict[int, dict[str, Any]] = {1: first_version}  # agreed ones, by number
        self.latest_agreed_version = 1
        self.generation = 1  # of the agreement; disaster recovery raises it
        # Voters in the first version of the generation.
        self.voters = set(list(self.instances)[: plan.fleet.seats])
        self.first_policy: bytes | None = None  # content of the first version, if it is not the plan's
        self.storage_ids: dict[str, int] = {}  # by instance, storage ids of acceptors that lost their state
        self.ended_by_plan: set[str] = set()  # instances whose end is part of the plan
        self._start_counts: dict[str, int] = {}
        # A relay accepts dials also while its target is down, so clients get one only where a fault needs it.
        affected = {n for f in plan.fault if "c" in (*f.who, *f.to) for n in (*f.who, *f.to)}
        self._relayed_instances = set(self.instances) & affected
        self.ports = {name: self._free_port(name) for name in self.instances}
        clock_faults = [f for f in plan.fault if f.kind == "clock"]
        self._clock_instances = {name for fault in clock_faults for name in fault.who}

    def process_by_name(self, name: str) -> Child:
        """Return an instance, a rack or the discovery service (`d`)."""
        if name == "d":
            return self.discovery
        return self.racks.get(name) or self.instances[name]

    def host(self, number: int) -> str:
        """Return one of the drill's loopback addresses."""
        return f"{self.address_prefix}.{number}"

    def home(self, name: str) -> Path:
        """Return the folder of an instance."""
        return self.folder / name

    def _free_port(self, name: str) -> int:
        """Return a free port at the instance's own address, which it keeps over its restarts."""
        with socket.socket() as sock:
            sock.bind((self.host(1 + int(name[1:])), 0))
            port: int = sock.getsockname()[1]
            return port

    # Start

    async def start(self) -> None:
        """Start all processes but the clients, and wait until the instances listen."""
        await self.fault_proxy.begin("client_proxy.fault_injection.fault_proxy")
        await asyncio.gather(*(self.start_rack(rack, cold=False) for rack in self.racks))
        if self.plan.fleet.line == "run":
            await self.start_discovery()
        if self.plan.fleet.gossip or self.plan.fleet.seats:
            for name in self.instances:
                self.write_keys(name, (1,))
        for name in self.instances:
            self.home(name).mkdir(exist_ok=True)
            if self.plan.fleet.line == "serve":
                self.write_list(name)
        self.initialize_seats()
        for name in self.instances:
            await self.start_instance(name)
        for name in self.instances:
            await self.wait_for_instance(name)

    async def _link(self, id_: str, to: Any, host: int = 251) -> None:
        """Make the relay of a link, or change its target if it exists."""
        if id_ in self.links:
            await self.fault_proxy.ask("aim", id=id_, to=to)
        else:
            answer = await self.fault_proxy.ask("link", id=id_, host=self.host(host), to=to)
            self.links[id_] = tuple(answer["address"])

    async def start_rack(self, rack: str, cold: bool) -> None:
        """Start the servers of a rack. `cold`: they need a slow start."""
        helper = self.racks[rack]
        await helper.begin("client_proxy.fault_injection.servers")
        self._start_counts[rack] = self._start_counts.get(rack, 0) + 1
        answer = await helper.ask(
            "begin",
            day=format_scenario(rack_scenario(self.plan, (rack,), halls=False)),
            host=self.host(252),
            history=str(self.folder / f"{rack}-{self._start_counts[rack]}.jsonl"),
            cold=cold,
        )
        for server, addresses in answer["doors"].items():
            for name, address in zip(self.instances, addresses, strict=True):
                if self.plan.fleet.seats and name != "i0":
                    # An agreed list has one address of a server for all instances.
                    self.links[f"{name}>{server}"] = self.links[f"i0>{server}"]
                else:
                    await self._link(f"{name}>{server}", address)
        self.record_state(rack, "ready")

    async def start_discovery(self) -> None:
        """Start the discovery service."""
        await self.discovery.begin("client_proxy.fault_injection.discovery")
        self._start_counts["d"] = self._start_counts.get("d", 0) + 1
        addresses = {
            server: [list(self.links[f"{name}>{server}"]) for name in self.instances]
            for server in self.plan.servers()
        }
        answer = await self.discovery.ask(
            "begin",
            day=format_scenario(rack_scenario(self.plan, self.plan.racks(), halls=True)),
            host=self.host(253),
            doors=addresses,
            history=str(self.folder / f"d-{self._start_counts['d']}.jsonl"),
        )
        for name, address in zip(self.instances, answer["doors"], strict=True):
            await self._link(f"{name}>d", address)
        self.record_state("d", "ready")

    async def start_instance(self, name: str, broken: bool = False) -> None:
        """Start an instance without waiting for it. `broken`: with a configuration that does not parse."""
        child, home = self.instances[name], self.home(name)
        home.mkdir(exist_ok=True)
        other_checkout = self.plan.fleet.others.get(name)
        path = Path(other_checkout) if other_checkout else ROOT
        package = package_name(path)
        env: dict[str, str] = {}
        if self.plan.fleet.line == "run":
            config = home / "config.json"
            config.write_text("{" if broken else json.dumps(self._platform_config(name)))
            env["LB_CONFIG"] = str(config)
            module, arguments = f"{package}.proxy", ["--operators", "deploy/platform.toml"]
        else:
            config = home / "serve.toml"
            config.write_text("name =\n" if broken else self._serve_file(name))
            module, arguments = f"{package}.cli", ["serve", "--config", str(config)]
        adjustable_clock = name in self._clock_instances
        await child.start(
            module, *arguments, path=path, env=env, fault_folder=home, adjustable_clock=adjustable_clock
        )
        self.record_state(name, "started")

    async def wait_for_instance(self, name: str) -> None:
        """Wait until an instance listens, and set the address that its clients dial."""
        address = await self.instances[name].wait_until_listening(self.ports[name])
        if name in self._relayed_instances:
            await self._link(f"c>{name}", list(address))
        else:
            self.links[f"c>{name}"] = address
        self.record_state(name, "listening")

    def record_state(self, who: str, state: str, **more: Any) -> None:
        """Record a state change of a process in the history."""
        self.history.write(
            "state", time.monotonic(), who=who, state=state, pid=self.process_by_name(who).pid, **more
        )

    # Files

    def write_list(self, name: str, spoilt: bool = False) -> None:
        """Replace an instance's server list in one step, without the servers that were dropped for it.

        `spoilt`: only the first half of the file, which is not valid.
        """
        content = (
            self._policy_file(self.versions[1]) if self.plan.fleet.seats else self._server_list_file(name)
        )
        content = self.first_policy or content
        if spoilt:
            content = content[: len(content) // 2]
        draft = self.home(name) / "servers.new"
        draft.write_bytes(content)
        os.replace(draft, self.home(name) / "servers.toml")

    def _server_list_file(self, name: str) -> bytes:
        """Return an instance's server list, sealed with its version."""
        lines: list[str] = []
        for server, rack in self.plan.servers().items():
            if server not in self.dropped[name]:
                host, port = self.links[f"{name}>{server}"]
                lines += ["[[server]]", f'name = "{server}"', f'address = "{host}:{port}"']
                lines += [f'hall = "{self.plan.hall(rack)}"', f"rack = {int(rack[1:])}", "warm = true", ""]
        return seal("\n".join(lines).encode(), self.version)

    def initialize_seats(self) -> None:
        """Initialize the acceptors, as an operator does once at each instance that votes."""
        if not self.plan.fleet.seats:
            return
        from client_proxy.cli.instance_file import load_instance_file
        from client_proxy.consensus.bootstrap import initialize_acceptor

        for name in sorted(self.voters):
            config = self.home(name) / "serve.toml"
            config.write_text(self._serve_file(name))
            table = load_instance_file(config).file.agreement
            assert table is not None
            initialize_acceptor(table, self.home(name), self._ordinal(name) + 1)

    def _agreement_table(self, name: str) -> str:
        """Return an instance's `[agreement]` table: members count from 1, the first instances have seats."""
        import base64

        from client_proxy.emulator.simulated_keys import derive_secret
        from client_proxy.membership.keys import Ed25519

        plan = self.plan
        lines = [
            "[agreement]",
            f'keys = "{name}.keys"',
            f'listen = "{self.host(1 + self._ordinal(name))}:{AGREEMENT_PORT}"',
            'first = "servers.toml"',
            'keep = "kept"',
            f"lease_ms = {plan.fleet.lease_ms}",
            f'stale = "{plan.fleet.stale}"',
            f"generation = {self.generation}",
        ]
        for seat in range(plan.fleet.seats + (0 if name in plan.fleet.narrow else plan.fleet.spare)):
            public = Ed25519(derive_secret(plan.seed, f"member {seat + 1}")).public_key
            lines += [
                "[[agreement.seat]]",
                f"member = {seat + 1}",
                f'address = "{self.host(1 + seat)}:{AGREEMENT_PORT}"',
                f'public = "{base64.b64encode(public).decode()}"',
                f"votes = {str(f'i{seat}' in self.voters).lower()}",
            ]
        return "\n".join(lines)

    def proposal(
        self, change: str, drop: tuple[str, ...], anew: bool, fault: FaultTable
    ) -> tuple[Path, dict[str, Any]]:
        """Write the file of a proposed policy.

        Args:
            change: Name of the change, and of the file.
            drop: Servers that are not on the list.
            anew: All other servers are on the list; else only those of the newest version.
            fault: The fault of the plan that makes the change.

        Returns:
            The path, and what the file states: servers, attempts and features.
        """
        newest = self.versions[self.latest_agreed_version]
        dropped = set(drop) if anew else set(drop) | (set(self.plan.servers()) - set(newest["servers"]))
        policy = {
            "servers": [server for server in self.plan.servers() if server not in dropped],
            "attempts": fault.attempts or newest["attempts"],
            "features": fault.features or newest["features"],
        }
        path = self.folder / f"{change}.toml"
        path.write_bytes(self._policy_file(policy))
        return path, policy

    def _policy_file(self, policy: dict[str, Any]) -> bytes:
        """Return the content of a policy file that the fleet agrees on."""
        name = next(iter(self.instances))
        dropped = set(self.plan.servers()) - set(policy["servers"])
        saved, self.dropped[name] = self.dropped[name], dropped
        content = self._server_list_file(name)
        self.dropped[name] = saved
        if not self.plan.fleet.whole:
            return content
        text = content.decode()
        # Without the file's own version line, since the agreement numbers the versions.
        tables = text[: text.index("[end]")].split("\n", 1)[1]
        with_policy = (
            f"[policy]\nattempts = {policy['attempts']}\n{self._class_tables()}\n"
            f"{policy['features']}\n{tables}"
        )
        return with_policy.encode()

    def store_unknown_version(self, name: str) -> int:
        """Store a version that no acceptor knows at an instance, like a backup of another fleet.

        Returns:
            Its number.
        """
        from client_proxy.config.version_store import Folder
        from client_proxy.consensus.messages import AcceptorId, Ballot, Decided, Version
        from client_proxy.consensus.store import Store

        store = Store(Folder(self.home(name) / "kept"))
        seats = tuple(AcceptorId(n + 1, 1) for n in range(self.plan.fleet.seats))
        digest = store.save_body(self._policy_file(self.versions[1]))
        store.save_decided(Decided(Version(UNKNOWN_VERSION, digest, seats), Ballot(9, 1, 9), ()))
        return UNKNOWN_VERSION

    def renew_storage_id(self, name: str) -> int:
        """Initialize an acceptor that has lost its state or never had one, as an operator does.

        Returns:
            Its new storage id.
        """
        from client_proxy.cli.instance_file import load_instance_file
        from client_proxy.consensus.bootstrap import initialize_acceptor

        table = load_instance_file(self.home(name) / "serve.toml").file.agreement
        assert table is not None
        report = initialize_acceptor(table, self.home(name), self._ordinal(name) + 1, new_storage_id=True)
        self.storage_ids[name] = int(report.split("memory ")[1].split(":")[0])
        return self.storage_ids[name]

    def _ordinal(self, name: str) -> int:
        return int(name[1:])

    def _hall(self, name: str) -> str:
        return f"h{self._ordinal(name) % self.plan.fleet.halls}"

    def _serve_file(self, name: str) -> str:
        """Return an instance's `serve.toml`, and write its operators' file if it needs one."""
        operators = self._operators_file(name)
        if operators:
            (self.home(name) / "operators.toml").write_text(operators)
        return f"""name = "{name}"
listen = "{self.host(1 + self._ordinal(name))}:{self.ports[name]}"
hall = "{self._hall(name)}"
instances = {self.plan.fleet.instances}
ordinal = {self._ordinal(name)}
control = "control.sock"
{'learned = "learned.state"' if self.plan.fleet.learned else ""}
{'operators = "operators.toml"' if operators else ""}
[log]
form = "json"
{self._agreement_table(name) if self.plan.fleet.seats else SERVERS_TABLE}
{self._class_tables()}"""

    def _class_tables(self) -> str:
        """Return the `[[class]]` tables of the two request classes."""
        load = self.plan.load
        objective_ms = 0.6 * load.deadline_ms
        return f"""[[class]]
name = "{KEYED}"
effect = "keyed"
group = "cell"
window_ms = {DEDUP_WINDOW_MS}
aim_ms = {objective_ms}
deadline_ms = {load.deadline_ms}
worth = 3
[[class]]
name = "{UNSAFE}"
effect = "unsafe"
aim_ms = {objective_ms}
deadline_ms = {load.deadline_ms}
worth = 10
"""

    def _operators_file(self, name: str) -> str:
        """Return the operators' file of an instance; "" if it needs none."""
        text = "" if self.plan.fleet.whole else self.plan.fleet.features
        if self.plan.fleet.gossip:
            seeds = [f'"{self.host(1 + n)}:{GOSSIP_PORT}"' for n in range(min(3, len(self.instances)))]
            listen = f"{self.host(1 + self._ordinal(name))}:{GOSSIP_PORT}"
            keys = self.home(name) / f"{name}.keys"
            text += f'\n[gossip]\nkeys = "{keys}"\nlisten = "{listen}"\nseeds = [{", ".join(seeds)}]\n'
        return text

    def write_keys(self, name: str, groups: tuple[int, ...]) -> None:
        """Replace an instance's key file. `groups`: numbers of its group keys; it sends with the first."""
        from client_proxy.emulator.simulated_keys import derive_secret
        from client_proxy.membership.keys import (
            Ed25519,
            format_keyring,
            issue_certificate,
            write_private_file,
        )

        seed = self.plan.seed
        authority = Ed25519(derive_secret(seed, "authority"))
        self.home(name).mkdir(exist_ok=True)
        member, hall = self._ordinal(name) + 1, self._hall(name)
        secret = derive_secret(seed, f"member {member}")
        certificate = issue_certificate(authority, 1, member, hall, 1, Ed25519(secret).public_key)
        secrets = {number: derive_secret(seed, f"group {number}") for number in groups}
        text = format_keyring(certificate, hall, secret, secrets, {1: authority.public_key})
        draft = self.home(name) / "keys.new"
        write_private_file(draft, text)
        os.replace(draft, self.home(name) / f"{name}.keys")

    def _platform_config(self, name: str) -> dict[str, Any]:
        """Return an instance's configuration in the platform's format."""
        scenario = rack_scenario(self.plan, self.plan.racks(), halls=True)
        host, port = self.links[f"{name}>d"]
        return {
            "name": name,
            "listen": f"{self.host(1 + self._ordinal(name))}:{self.ports[name]}",
            "discovery": f"{host}:{port}",
            "seed": f"{self.plan.seed * 1000 + self._ordinal(name):x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": proxy_settings(scenario, self._ordinal(name), self.plan.fleet.instances),
        }

    def delete_kept_folder(self, name: str) -> None:
        """Delete what the program stored for an instance, but not the files that operators wrote."""
        shutil.rmtree(self.home(name) / "kept", ignore_errors=True)

    # Links

    def link_sides(self, sender: str, receiver: str) -> list[tuple[str, str]]:
        """Return the links that carry what `sender` sends to `receiver`, each with its direction.

        Raises:
            RigError: There is no link between them.
        """
        if sender in self.instances and receiver in self.racks:
            return [(f"{sender}>{s}", "there") for s, rack in self.plan.servers().items() if rack == receiver]
        if sender in self.racks and receiver in self.instances:
            return [(id_, "back") for id_, _ in self.link_sides(receiver, sender)]
        pairs = {(sender, receiver): "there", (receiver, sender): "back"}
        for (first_end, second_end), side in pairs.items():
            if f"{first_end}>{second_end}" in self.links:
                return [(f"{first_end}>{second_end}", side)]
        raise RigError(f"there is no link between {sender} and {receiver}")

    async def refuse_dials(self, name: str) -> None:
        """Have the relays refuse dials to a process that has died."""
        for id_ in self._links_to(name):
            await self.fault_proxy.ask("way", id=id_, sides=[], mode="closed")

    def _links_to(self, name: str) -> list[str]:
        """Return the links that lead to a process."""
        if name in self.racks:
            servers = [s for s, rack in self.plan.servers().items() if rack == name]
            diallers = ["i0"] if self.plan.fleet.seats else list(self.instances)
            return [f"{instance}>{s}" for instance in diallers for s in servers]
        if name == "d":
            return [f"{instance}>d" for instance in self.instances]
        return [f"c>{name}"] if name in self._relayed_instances else []

    # End

    async def end(self) -> None:
        """End every process, whatever state it is in."""
        for child in self.instances.values():
            await child.kill()
        for helper in (self.clients, *self.racks.values(), self.discovery, self.fault_proxy):
            await helper.end()
        self.history.close()
        _drill_numbers.discard(self._drill_number)
