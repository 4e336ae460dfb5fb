"""Real transports on loopback, with real datagrams, body transfers and folders; policies are any bytes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from client_proxy.address import Address
from client_proxy.config.fleet import digest_of
from client_proxy.config.version_store import Folder
from client_proxy.consensus.acceptor import AcceptorState
from client_proxy.consensus.lease_holder import LeaseSettings
from client_proxy.consensus.messages import AcceptorId, Ballot, Decided, Version
from client_proxy.consensus.node import Node
from client_proxy.consensus.signer import Peer, acceptor_verifier
from client_proxy.consensus.store import Store
from client_proxy.consensus.transport import ConsensusTransport
from client_proxy.emulator.simulated_keys import derive_keyring
from client_proxy.fault_injection.fleet import loopback_prefix

FIRST_BODY = b"first"
KEY_SEED = 5
PORT = 7947
WAIT_TIMEOUT_S = 30


@dataclass
class Instance:
    """A transport, its store, and the number and body of each version that it activated."""

    transport: ConsensusTransport
    store: Store
    activated: list[tuple[int, bytes]] = field(default_factory=list)


def make_instance(folder: Path, member: int, peers: dict[int, Peer], listen: Address) -> Instance:
    """Returns an instance that accepts any body that does not contain `bad`."""
    keys = derive_keyring(KEY_SEED, member, "h")
    acceptors = tuple(AcceptorId(peer, 1) for peer in sorted(peers)) or (AcceptorId(1, 1),)
    genesis = Decided(Version(1, digest_of(FIRST_BODY), acceptors), Ballot(), ())
    store = Store(Folder(folder / f"m{member}"))
    store.save_body(FIRST_BODY)
    state = AcceptorState(AcceptorId(member, 1), genesis) if member in peers else None
    verify = acceptor_verifier(peers, keys)
    settings = LeaseSettings(600.0, 100.0)
    node = Node(member, genesis, state, settings, keys.signer.sign, verify, member, member)
    activated: list[tuple[int, bytes]] = []
    transport = ConsensusTransport(
        node, store, keys, peers, listen,
        validate=lambda body, version, proposed: "bad" if b"bad" in body else "",
        activate=lambda version, body: activated.append((version.number, body)),
    )  # fmt: skip
    return Instance(transport, store, activated)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Waits for a condition. The timeout only stops a test that hangs."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():  # noqa: ASYNC110 - state of several instances, which has no event to wait for
            await asyncio.sleep(0.005)


def run_with_fleet(folder: Path, test: Callable[[dict[int, Instance]], Awaitable[None]]) -> None:
    """Runs a test with instances 1 to 3, which have an acceptor, and instance 4 without one."""

    async def run() -> None:
        # All instances need the acceptors' addresses at the start; `loopback_prefix` is unique per process.
        addresses = {member: (f"{loopback_prefix()}.{100 + member}", PORT) for member in (1, 2, 3)}
        peers = {
            member: Peer(member, address, derive_keyring(KEY_SEED, member, "h").signer.public_key)
            for member, address in addresses.items()
        }
        fleet = {member: make_instance(folder, member, peers, peers[member].address) for member in peers}
        fleet[4] = make_instance(folder, 4, peers, (f"{loopback_prefix()}.104", PORT))
        for instance in fleet.values():
            await instance.transport.bind()
            instance.transport.start()
        try:
            all_started = [(1, FIRST_BODY)]
            await wait_until(lambda: all(instance.activated == all_started for instance in fleet.values()))
            await test(fleet)
        finally:
            for instance in fleet.values():
                instance.transport.close()

    asyncio.run(run())
