"""The processes of a drill, the wires between them, and the files that they read."""

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

LOOK_MS, SETTLE_MS = 100, 200
GOSSIP_PORT = 7946
KIND = ServerType(
    "drill", cores=4, queue_per_core=25.0, max_connections=400, handshake_ms=0.5, idle_timeout_s=60.0
)
WINDOW_MS = 1200.0
AGREEMENT_PORT = 7947
FUTURE = 900  # a version far past what any drill comes to
WATCHED = f"""[servers]
file = "servers.toml"
look_ms = {LOOK_MS}
settle_ms = {SETTLE_MS}
leaving_share = 0.9
sealed = true
keep = "kept"
"""


_places: set[int] = set()  # of the drills that are on in this process


def loopback_prefix(place: int = 0) -> str:
    """Three of the four numbers of the loopback addresses that are this drill's, or this process's."""
    pid = os.getpid()
    return f"127.{64 + pid % 64}.{(pid // 64 + 37 * place) % 256}"


def rack_scenario(plan: Plan, racks: tuple[str, ...], halls: bool) -> Scenario:
    """The emulator's day of these racks. `halls`: named by the plan's halls; else by rack, so that a rack's
    process finds nobody far away."""
    classes = (
        RequestClassSpec(
            KEYED, share=1.0, work_ms=plan.load.work_ms, latency_objective_ms=plan.load.deadline_ms * 0.6,
            deadline_ms=plan.load.deadline_ms, effect="keyed", idempotency_scope="cell",
            idempotency_window_ms=WINDOW_MS, priority_weight=3.0,
        ),
        RequestClassSpec(
            UNSAFE, share=1.0, work_ms=plan.load.work_ms, latency_objective_ms=plan.load.deadline_ms * 0.6,
            deadline_ms=plan.load.deadline_ms, effect="unsafe", priority_weight=10.0,
        ),
    )  # fmt: skip
    groups = tuple(ServerGroup("drill", rack, plan.fleet.per_rack, int(rack[1:])) for rack in racks)
    return Scenario(
        name=plan.name, duration_s=3600.0, seed=plan.seed, zones=racks, classes=classes, server_types=(KIND,),
        server_groups=groups, clients=ClientSettings(proxies=plan.fleet.instances),
    )  # fmt: skip


class Fleet:
    """Made by the drill, inside its event loop. Every method that starts something raises RigError."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        # Danger: ports of gossip and agreement are the same everywhere: two drills would have them both.
        self._place = next(n for n in range(256) if n not in _places)
        _places.add(self._place)
        self.part = loopback_prefix(self._place)
        self.history = Writer(folder / "drill.jsonl")
        self.wires = Helper("wires", folder)
        self.clients = Helper("clients", folder)
        self.discovery = Helper("discovery", folder)
        self.racks = {name: Helper(name, folder) for name in plan.racks()}
        self.instances = {name: Child(name, folder) for name in plan.instances()}
        self.links: dict[str, tuple[str, int]] = {}  # by `from>to`, where the one who dials finds it
        self.dropped: dict[str, set[str]] = {name: set() for name in plan.instances()}
        self.version = 1
        servers = [server for server in plan.servers() if server not in plan.fleet.without]
        first = {
            "servers": servers,
            "attempts": 3,
            "features": plan.fleet.features if plan.fleet.whole else "",
        }
        self.versions: dict[int, dict[str, Any]] = {1: first}  # agreed ones
        self.newest = 1
        self.generation = 1  # of the agreement: begun anew by hand
        self.voters = set(list(self.instances)[: plan.fleet.seats])  # from the first version of it on
        self.first_policy: bytes | None = None  # its first version, if it is not the plan's
        self.memories: dict[str, int] = {}  # of seats, made anew
        self.ended_by_plan: set[str] = set()  # instances that are down as the plan says
        self._lives: dict[str, int] = {}
        # A relay would take a dial for a process that is down; so clients have one only where it is needed.
        befallen = {n for f in plan.fault if "c" in (*f.who, *f.to) for n in (*f.who, *f.to)}
        self._relayed = set(self.instances) & befallen
        self.ports = {name: self._free_port(name) for name in self.instances}
        bent = [f for f in plan.fault if f.kind == "clock"]
        self._bent = {name for fault in bent for name in fault.who}

    def named(self, name: str) -> Child:
        if name == "d":
            return self.discovery
        return self.racks.get(name) or self.instances[name]

    def host(self, number: int) -> str:
        return f"{self.part}.{number}"

    def home(self, name: str) -> Path:
        """An instance's own folder."""
        return self.folder / name

    def _free_port(self, name: str) -> int:
        """The system's pick, at an address that nobody else has; the same over all lives of the instance."""
        with socket.socket() as sock:
            sock.bind((self.host(1 + int(name[1:])), 0))
            port: int = sock.getsockname()[1]
            return port

    # Start

    async def start(self) -> None:
        await self.wires.begin("client_proxy.fault_injection.fault_proxy")
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
        if id_ in self.links:
            await self.wires.ask("aim", id=id_, to=to)
        else:
            answer = await self.wires.ask("link", id=id_, host=self.host(host), to=to)
            self.links[id_] = tuple(answer["address"])

    async def start_rack(self, rack: str, cold: bool) -> None:
        helper = self.racks[rack]
        await helper.begin("client_proxy.fault_injection.servers")
        self._lives[rack] = self._lives.get(rack, 0) + 1
        answer = await helper.ask(
            "begin",
            day=format_scenario(rack_scenario(self.plan, (rack,), halls=False)),
            host=self.host(252),
            history=str(self.folder / f"{rack}-{self._lives[rack]}.jsonl"),
            cold=cold,
        )
        for server, doors in answer["doors"].items():
            for name, door in zip(self.instances, doors, strict=True):
                if self.plan.fleet.seats and name != "i0":
                    # An agreed list has one address of a server for all.
                    self.links[f"{name}>{server}"] = self.links[f"i0>{server}"]
                else:
                    await self._link(f"{name}>{server}", door)
        self.say_state(rack, "ready")

    async def start_discovery(self) -> None:
        await self.discovery.begin("client_proxy.fault_injection.discovery")
        self._lives["d"] = self._lives.get("d", 0) + 1
        doors = {
            server: [list(self.links[f"{name}>{server}"]) for name in self.instances]
            for server in self.plan.servers()
        }
        answer = await self.discovery.ask(
            "begin",
            day=format_scenario(rack_scenario(self.plan, self.plan.racks(), halls=True)),
            host=self.host(253),
            doors=doors,
            history=str(self.folder / f"d-{self._lives['d']}.jsonl"),
        )
        for name, door in zip(self.instances, answer["doors"], strict=True):
            await self._link(f"{name}>d", door)
        self.say_state("d", "ready")

    async def start_instance(self, name: str, broken: bool = False) -> None:
        """Started, and not waited for. `broken`: with a file that it can't use."""
        child, home = self.instances[name], self.home(name)
        home.mkdir(exist_ok=True)
        other = self.plan.fleet.others.get(name)
        path = Path(other) if other else ROOT
        package = package_name(path)
        env: dict[str, str] = {}
        if self.plan.fleet.line == "run":
            config = home / "config.json"
            config.write_text("{" if broken else json.dumps(self._platform(name)))
            env["LB_CONFIG"] = str(config)
            module, words = f"{package}.proxy", ["--operators", "deploy/platform.toml"]
        else:
            config = home / "serve.toml"
            config.write_text("name =\n" if broken else self._serve(name))
            module, words = f"{package}.cli", ["serve", "--config", str(config)]
        bent = name in self._bent
        await child.start(module, *words, path=path, env=env, fault_folder=home, adjustable_clock=bent)
        self.say_state(name, "started")

    async def wait_for_instance(self, name: str) -> None:
        """It listens; its clients find it."""
        address = await self.instances[name].wait_until_listening(self.ports[name])
        if name in self._relayed:
            await self._link(f"c>{name}", list(address))
        else:
            self.links[f"c>{name}"] = address
        self.say_state(name, "listening")

    def say_state(self, who: str, state: str, **more: Any) -> None:
        self.history.write("state", time.monotonic(), who=who, state=state, pid=self.named(who).pid, **more)

    # Files

    def write_list(self, name: str, spoilt: bool = False) -> None:
        """The instance's own copy of the list, without what was dropped for it; replaced in one step."""
        content = self._policy_file(self.versions[1]) if self.plan.fleet.seats else self._listed(name)
        content = self.first_policy or content
        if spoilt:
            content = content[: len(content) // 2]
        draft = self.home(name) / "servers.new"
        draft.write_bytes(content)
        os.replace(draft, self.home(name) / "servers.toml")

    def _listed(self, name: str) -> bytes:
        lines: list[str] = []
        for server, rack in self.plan.servers().items():
            if server not in self.dropped[name]:
                host, port = self.links[f"{name}>{server}"]
                lines += ["[[server]]", f'name = "{server}"', f'address = "{host}:{port}"']
                lines += [f'hall = "{self.plan.hall(rack)}"', f"rack = {int(rack[1:])}", "warm = true", ""]
        return seal("\n".join(lines).encode(), self.version)

    def initialize_seats(self) -> None:
        """What an operator says once to each instance that votes."""
        if not self.plan.fleet.seats:
            return
        from client_proxy.cli.instance_file import load_instance_file
        from client_proxy.consensus.bootstrap import initialize_acceptor

        for name in sorted(self.voters):
            config = self.home(name) / "serve.toml"
            config.write_text(self._serve(name))
            table = load_instance_file(config).file.agreement
            assert table is not None
            initialize_acceptor(table, self.home(name), self._number(name) + 1)

    def _agreement(self, name: str) -> str:
        """Members are numbered from 1; the first few instances have the seats."""
        import base64

        from client_proxy.emulator.simulated_keys import derive_secret
        from client_proxy.membership.keys import Ed25519

        plan = self.plan
        lines = [
            "[agreement]",
            f'keys = "{name}.keys"',
            f'listen = "{self.host(1 + self._number(name))}:{AGREEMENT_PORT}"',
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
        self, change: str, drop: tuple[str, ...], anew: bool, stated: FaultTable
    ) -> tuple[Path, dict[str, Any]]:
        """A file with the policy that is proposed, and what it says: servers, attempts. Without `anew` what
        the newest version left out stays out."""
        before = self.versions[self.newest]
        out = set(drop) if anew else set(drop) | (set(self.plan.servers()) - set(before["servers"]))
        said = {
            "servers": [server for server in self.plan.servers() if server not in out],
            "attempts": stated.attempts or before["attempts"],
            "features": stated.features or before["features"],
        }
        path = self.folder / f"{change}.toml"
        path.write_bytes(self._policy_file(said))
        return path, said

    def _policy_file(self, said: dict[str, Any]) -> bytes:
        """The file that the fleet agrees on."""
        name = next(iter(self.instances))
        out = set(self.plan.servers()) - set(said["servers"])
        listed, self.dropped[name] = self.dropped[name], out
        content = self._listed(name)
        self.dropped[name] = listed
        if not self.plan.fleet.whole:
            return content
        text = content.decode()
        above = text[: text.index("[end]")].split("\n", 1)[1]  # the version is not of a file of ours
        whole = f"[policy]\nattempts = {said['attempts']}\n{self._classes()}\n{said['features']}\n{above}"
        return whole.encode()

    def future_folder(self, name: str) -> int:
        """A backup of another fleet, or of this one before its seats were lost: a version that nobody
        knows."""
        from client_proxy.config.version_store import Folder
        from client_proxy.consensus.messages import AcceptorId, Ballot, Decided, Version
        from client_proxy.consensus.store import Store

        store = Store(Folder(self.home(name) / "kept"))
        seats = tuple(AcceptorId(n + 1, 1) for n in range(self.plan.fleet.seats))
        digest = store.save_body(self._policy_file(self.versions[1]))
        store.save_decided(Decided(Version(FUTURE, digest, seats), Ballot(9, 1, 9), ()))
        return FUTURE

    def new_memory(self, name: str) -> int:
        """What an operator says at an instance that has lost its memory, or never had one."""
        from client_proxy.cli.instance_file import load_instance_file
        from client_proxy.consensus.bootstrap import initialize_acceptor

        table = load_instance_file(self.home(name) / "serve.toml").file.agreement
        assert table is not None
        told = initialize_acceptor(table, self.home(name), self._number(name) + 1, new_storage_id=True)
        self.memories[name] = int(told.split("memory ")[1].split(":")[0])
        return self.memories[name]

    def _number(self, name: str) -> int:
        return int(name[1:])

    def _hall(self, name: str) -> str:
        return f"h{self._number(name) % self.plan.fleet.halls}"

    def _serve(self, name: str) -> str:
        operators = self._operators(name)
        if operators:
            (self.home(name) / "operators.toml").write_text(operators)
        return f"""name = "{name}"
listen = "{self.host(1 + self._number(name))}:{self.ports[name]}"
hall = "{self._hall(name)}"
instances = {self.plan.fleet.instances}
ordinal = {self._number(name)}
control = "control.sock"
{'learned = "learned.state"' if self.plan.fleet.learned else ""}
{'operators = "operators.toml"' if operators else ""}
[log]
form = "json"
{self._agreement(name) if self.plan.fleet.seats else WATCHED}
{self._classes()}"""

    def _classes(self) -> str:
        load = self.plan.load
        aim = 0.6 * load.deadline_ms
        return f"""[[class]]
name = "{KEYED}"
effect = "keyed"
group = "cell"
window_ms = {WINDOW_MS}
aim_ms = {aim}
deadline_ms = {load.deadline_ms}
worth = 3
[[class]]
name = "{UNSAFE}"
effect = "unsafe"
aim_ms = {aim}
deadline_ms = {load.deadline_ms}
worth = 10
"""

    def _operators(self, name: str) -> str:
        text = "" if self.plan.fleet.whole else self.plan.fleet.features
        if self.plan.fleet.gossip:
            seeds = [f'"{self.host(1 + n)}:{GOSSIP_PORT}"' for n in range(min(3, len(self.instances)))]
            listen = f"{self.host(1 + self._number(name))}:{GOSSIP_PORT}"
            keys = self.home(name) / f"{name}.keys"
            text += f'\n[gossip]\nkeys = "{keys}"\nlisten = "{listen}"\nseeds = [{", ".join(seeds)}]\n'
        return text

    def write_keys(self, name: str, groups: tuple[int, ...]) -> None:
        """An instance's key file, with these keys of the group; the first is the one that it sends with."""
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
        member, hall = self._number(name) + 1, self._hall(name)
        secret = derive_secret(seed, f"member {member}")
        card = issue_certificate(authority, 1, member, hall, 1, Ed25519(secret).public_key)
        secrets = {number: derive_secret(seed, f"group {number}") for number in groups}
        text = format_keyring(card, hall, secret, secrets, {1: authority.public_key})
        draft = self.home(name) / "keys.new"
        write_private_file(draft, text)
        os.replace(draft, self.home(name) / f"{name}.keys")

    def _platform(self, name: str) -> dict[str, Any]:
        day = rack_scenario(self.plan, self.plan.racks(), halls=True)
        host, port = self.links[f"{name}>d"]
        return {
            "name": name,
            "listen": f"{self.host(1 + self._number(name))}:{self.ports[name]}",
            "discovery": f"{host}:{port}",
            "seed": f"{self.plan.seed * 1000 + self._number(name):x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": proxy_settings(day, self._number(name), self.plan.fleet.instances),
        }

    def lose_folder(self, name: str) -> None:
        """What the program kept there is gone; what operators put there stands."""
        shutil.rmtree(self.home(name) / "kept", ignore_errors=True)

    # Wires

    def ways(self, one: str, other: str) -> list[tuple[str, str]]:
        """The links, and the side of each, on which what `one` sends to `other` travels. Raises RigError."""
        if one in self.instances and other in self.racks:
            return [(f"{one}>{s}", "there") for s, rack in self.plan.servers().items() if rack == other]
        if one in self.racks and other in self.instances:
            return [(id_, "back") for id_, _ in self.ways(other, one)]
        pairs = {(one, other): "there", (other, one): "back"}
        for (a, b), side in pairs.items():
            if f"{a}>{b}" in self.links:
                return [(f"{a}>{b}", side)]
        raise RigError(f"there is no wire between {one} and {other}")

    async def close_doors(self, name: str) -> None:
        """It has died: who dials it is refused, and not taken in by a relay."""
        for id_ in self._behind(name):
            await self.wires.ask("way", id=id_, sides=[], mode="closed")

    def _behind(self, name: str) -> list[str]:
        """The links whose far end it is."""
        if name in self.racks:
            servers = [s for s, rack in self.plan.servers().items() if rack == name]
            diallers = ["i0"] if self.plan.fleet.seats else list(self.instances)
            return [f"{i}>{s}" for i in diallers for s in servers]
        if name == "d":
            return [f"{i}>d" for i in self.instances]
        return [f"c>{name}"] if name in self._relayed else []

    # End

    async def end(self) -> None:
        """Every process, whatever state it is in."""
        for child in self.instances.values():
            await child.kill()
        for helper in (self.clients, *self.racks.values(), self.discovery, self.wires):
            await helper.end()
        self.history.close()
        _places.discard(self._place)
