"""Runs the `GossipNode` of one daemon on a UDP port, the event loop and the daemon's clock."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from typing import Protocol

from client_proxy.address import Address
from client_proxy.api.settings import Settings
from client_proxy.clock import now_ms
from client_proxy.membership.keys import Keyring, load_keyring
from client_proxy.membership.link import Port, UdpPort
from client_proxy.membership.node import GossipNode
from client_proxy.membership.settings import GossipSettings
from client_proxy.membership.suspicions import ServerSuspicions
from client_proxy.toml_table import TomlError

log = logging.getLogger(__name__)

MAX_LOG_LINES = 8  # lines logged at a time; of further lines only the number is logged
MIN_TIMER_S = 0.001  # s; shortest delay of the wake-up timer
TIMER_TOLERANCE_MS = 1.0  # ms; a timer whose due time changes by less is not replaced


class InstanceConfig(Protocol):
    """The part of an instance's configuration that gossip uses."""

    @property
    def peer_listen(self) -> Address | None:
        """The listen address for gossip that the platform assigned, if any."""

    @property
    def peers(self) -> tuple[Address, ...]:
        """The addresses of other instances."""

    @property
    def settings(self) -> Settings:
        """The balancer's settings."""

    @property
    def seed(self) -> int:
        """The seed of the random number generator."""


class Gossip:
    """Gossip on the event loop; it is created before the daemon, and started and closed with it."""

    def __init__(
        self,
        gossip_settings: GossipSettings,
        keyring: Keyring,
        balancer_settings: Settings,
        seed: int,
        port: Port | None = None,
    ) -> None:
        """Bind the port, unless a bound one is given.

        Raises:
            OSError: the address cannot be bound.
        """
        self.port: Port = port or UdpPort(gossip_settings.listen)
        self.node = GossipNode(gossip_settings, keyring, self.port.address, balancer_settings, seed)
        self._timer: asyncio.TimerHandle | None = None
        self._due_ms = float("inf")
        self._is_closed = False

    @classmethod
    def from_config(cls, config: InstanceConfig, gossip_settings: GossipSettings, keyring: Keyring) -> Gossip:
        """Create the gossip node.

        Its listen address and seeds default to `peer_listen` and `peers` of the instance configuration.

        Raises:
            OSError: the address cannot be bound.
        """
        listen = gossip_settings.listen
        if config.peer_listen is not None and not listen[1]:
            listen = config.peer_listen
        seeds = gossip_settings.seeds or config.peers
        settings = replace(gossip_settings, listen=listen, seeds=seeds)
        return cls(settings, keyring, config.settings, config.seed)

    @property
    def balancer_hook(self) -> ServerSuspicions:
        """The hook that the balancer consults when it picks a server."""
        return self.node.suspicions

    def start(self) -> None:
        """Start receiving and join the other instances."""
        self.port.start(self._receive)
        self.node.start(now_ms())
        self._send_and_set_timer()

    def leave(self) -> None:
        """Notify some members that this instance leaves; it continues to answer datagrams until `close`."""
        self.node.swim.leave()
        self._send_and_set_timer()

    def close(self) -> None:
        """Stop gossip and close the port."""
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()
        self.port.close()

    def reload_keys(self) -> None:
        """Reload the key file; if it is unusable, keep the current keys and log a warning."""
        try:
            keyring = load_keyring(self.node.settings.keys)
        except TomlError as error:
            log.warning("cannot reload the gossip keys, the old ones stay in use: %s", error)
            return
        member = keyring.certificate.member
        if member != self.node.swim.own_number:
            log.warning("the new gossip keys are another instance's (%d), the old ones stay in use", member)
            return
        self.node.replace_keys(keyring)
        log.info("keys read again: group keys %s", ", ".join(map(str, keyring.group_keys)))

    def _receive(self, data: bytes, source: Address) -> float:
        now = now_ms()
        self.node.receive(now, data, source)
        self._send_and_set_timer()
        return self.node.read_pause_ms(now) / 1000.0

    def _send_and_set_timer(self) -> None:
        """Send what the budget allows, and set the timer for the next time that the node is due."""
        if self._is_closed:
            return
        now = now_ms()
        batch = self.node.outgoing_datagrams(now)
        for datagram in batch.datagrams:
            self.port.send(datagram.data, datagram.destination)
        self._log_state_changes()
        due_ms = min(self.node.due_ms, now + batch.wait_ms)
        if self._timer is not None:
            if abs(due_ms - self._due_ms) < TIMER_TOLERANCE_MS:
                return
            self._timer.cancel()
        self._due_ms = due_ms
        delay_s = max(MIN_TIMER_S, (due_ms - now) / 1000.0)
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._wake)

    def _wake(self) -> None:
        self._timer = None
        self.node.wake(now_ms())
        self._send_and_set_timer()

    def _log_state_changes(self) -> None:
        lines = self.node.take_log_lines()
        for line in lines[:MAX_LOG_LINES]:
            log.info("%s", line)
        if len(lines) > MAX_LOG_LINES:
            log.info("%d more state changes of members", len(lines) - MAX_LOG_LINES)
