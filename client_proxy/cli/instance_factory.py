"""Builds an instance from its files: the daemon, the source of its server list, and its control socket."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from client_proxy.address import read_address
from client_proxy.api.events import EndpointsListed
from client_proxy.cli.control import ControlSocket
from client_proxy.cli.control_commands import ControlCommands
from client_proxy.cli.instance_file import InstanceFile, settings_document
from client_proxy.cli.warm_state_saver import WarmStateSaver
from client_proxy.config.file_watcher import WatchSettings
from client_proxy.config.models import AgreementTable, ServersTable
from client_proxy.config.policy import Policy
from client_proxy.config.source import FileSource
from client_proxy.config.version_store import Folder, VersionStore
from client_proxy.endpoint_directory import EndpointDirectory
from client_proxy.proxy.config import Config
from client_proxy.proxy.daemon import Daemon, EndpointSourceFactory
from client_proxy.routing.weights import Weights
from client_proxy.settings import read_settings

if TYPE_CHECKING:
    from client_proxy.consensus.policy_source import ConsensusPolicySource
    from client_proxy.membership.gossip import Gossip

log = logging.getLogger(__name__)

SEED_MASK = 0xFFFFFFFF  # seeds have 32 bits

Notify = Callable[[EndpointsListed], None]


class Instance:
    """A serving instance: the daemon, the source of its list of servers, and its control socket.

    Attributes:
        daemon: The daemon.
        source: The source of the list of servers; None: a discovery service is used.
        consensus_source: The same source if the fleet agrees on its policy by consensus, else None.
        control: The control socket; None: the instance's file names none.
    """

    def __init__(self, instance_file: InstanceFile) -> None:
        self._instance_file = instance_file
        self.source: FileSource | None = None
        self.consensus_source: ConsensusPolicySource | None = None
        file = instance_file.file
        config = _make_config(instance_file)
        endpoint_source = self._endpoint_source_factory()
        self.daemon = Daemon(
            config,
            operators=instance_file.operators,
            gossip=_make_gossip(instance_file, config),
            endpoint_source=endpoint_source,
            persistent_hooks=(Weights(),) if endpoint_source is not None else (),
        )
        if self.consensus_source is not None:
            self.daemon.engine.has_lease = self.consensus_source.may_serve_now
            self.daemon.engine.on_request_ended = self.consensus_source.rollout.record_outcome
        self._warm_state_saver: WarmStateSaver | None = None
        if file.learned:
            self._warm_state_saver = WarmStateSaver(self.daemon, instance_file.resolve_path(file.learned))
            self._warm_state_saver.restore()
        self.control: ControlSocket | None = None
        if file.control:
            commands = ControlCommands(file.name, self.daemon, self.source, self.consensus_source)
            self.control = ControlSocket(
                instance_file.resolve_path(file.control), commands.command_handlers()
            )

    # Sources of the list of servers

    def _endpoint_source_factory(self) -> EndpointSourceFactory | None:
        file = self._instance_file.file
        servers, agreement = file.servers, file.agreement
        if servers is not None:
            return lambda directory, notify: self._make_file_source(servers, directory, notify)
        if agreement is not None:
            return lambda directory, notify: self._make_policy_source(agreement, directory, notify)
        return None

    def _make_file_source(
        self, table: ServersTable, directory: EndpointDirectory, notify: Notify
    ) -> FileSource:
        store: VersionStore | None = None
        if table.keep:
            try:
                store = VersionStore(Folder(self._instance_file.resolve_path(table.keep)), table.kept)
            except OSError as error:
                log.warning("old versions of the list of servers will not be kept: %s", error)
        settings = WatchSettings(table.settle_ms, table.sealed, table.leaving_share, 1000.0 * table.hold_s)
        path = self._instance_file.resolve_path(table.file)
        self.source = FileSource(path, table.look_ms, settings, directory, notify, store)
        return self.source

    def _make_policy_source(
        self, table: AgreementTable, directory: EndpointDirectory, notify: Notify
    ) -> ConsensusPolicySource:
        # Imported here so that an instance without [agreement] runs without the optional packages.
        from client_proxy.consensus.policy_source import ConsensusPolicySource

        folder, zone = self._instance_file.path.parent, self._instance_file.file.hall
        self.consensus_source = ConsensusPolicySource(
            table, folder, directory, notify, self._adopt_policy, zone
        )
        self.source = self.consensus_source
        return self.consensus_source

    def _adopt_policy(self, policy: Policy, message: dict[str, Any]) -> None:
        """Applies the policy that the fleet agreed on to requests that arrive from now on."""
        operators = self._instance_file.operators
        if policy.table is not None:
            operators = replace(policy.operators, gossip=operators.gossip)
        settings = read_settings(settings_document(self._instance_file.file, policy))
        self.daemon.adopt(settings, operators, message, (Weights(),))

    # Start and shutdown

    async def start(self) -> int:
        """Starts to serve. Returns the port. Raises OSError if an address can't be bound."""
        if self.consensus_source is not None:
            await self.consensus_source.bind()
        port = await self.daemon.start()
        if self.control is not None:
            await self.control.start()
        if self._warm_state_saver is not None:
            self._warm_state_saver.start()
        return port

    def reload_keys(self) -> None:
        """Reloads the keys of gossip (on SIGHUP). Other files are watched, or read at the next start only."""
        if self.daemon.gossip is not None:
            self.daemon.gossip.reload_keys()

    async def end(self) -> None:
        """Finishes pending requests and stops."""
        if self.control is not None:
            self.control.close()
        await self.daemon.shut_down(accept_grace_s=0.0)
        if self._warm_state_saver is not None:
            await self._warm_state_saver.end()


def _make_config(instance_file: InstanceFile) -> Config:
    file = instance_file.file
    return Config(
        name=file.name,
        listen=read_address(file.listen),
        discovery=read_address(file.discovery) if file.discovery else None,
        seed=time.time_ns() & SEED_MASK,
        settings=read_settings(settings_document(file)),
        known=None,
        sockets=file.sockets,
    )


def _make_gossip(instance_file: InstanceFile, config: Config) -> Gossip | None:
    settings = instance_file.operators.gossip
    if settings is None:
        return None
    from client_proxy.membership.gossip import Gossip
    from client_proxy.membership.keys import load_keyring

    return Gossip.from_config(config, settings, load_keyring(settings.keys))


def build_instance(instance_file: InstanceFile) -> Instance:
    """Builds an instance from its file, inside a running event loop or before it starts.

    Raises TomlError or OSError if a file that the instance's file names can't be used.
    """
    return Instance(instance_file)
