"""Reads the operators' TOML file, one table per feature, and builds the balancer hook of these features."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TYPE_CHECKING

from client_proxy.api.policy_hook import BalancerHook, CompositeHook, member_hooks
from client_proxy.api.settings import Settings
from client_proxy.limits.load_shedding import LoadShedding
from client_proxy.limits.settings import OverloadSettings, parse_overload_settings
from client_proxy.optional_dependencies import missing_packages_message
from client_proxy.outlier.ejection_hook import EjectionHook
from client_proxy.outlier.settings import OutlierSettings, parse_outlier_settings
from client_proxy.routing.idle_timeout import ConnectionSettings, parse_connection_settings
from client_proxy.routing.locality.router import LocalityRouter
from client_proxy.routing.settings import LocalitySettings, parse_locality_settings
from client_proxy.toml_table import File, Table, TomlError, read_text

if TYPE_CHECKING:
    from client_proxy.membership.settings import GossipSettings


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Settings of the optional features. A feature is off (None) if its table is not in the file.

    Attributes:
        halls: Preference for endpoints of the own zone, with spillover to others.
        overload: Load shedding.
        gossip: Gossip between the proxies.
        connections: Idle timeout of connections and rate of new ones.
        reach: Outlier ejection.
    """

    halls: LocalitySettings | None = None
    overload: OverloadSettings | None = None
    gossip: GossipSettings | None = None
    connections: ConnectionSettings | None = None
    reach: OutlierSettings | None = None

    @property
    def has_hook(self) -> bool:
        """Whether any enabled feature adds a balancer hook."""
        return any(feature is not None for feature in (self.halls, self.overload, self.reach))

    def balancer_hook(
        self,
        settings: Settings,
        seed: int,
        persistent_hooks: Sequence[BalancerHook] = (),
        predecessor: BalancerHook | None = None,
    ) -> BalancerHook | None:
        """Returns a new hook for one balancer; None: there are no hooks.

        Load shedding comes before locality: a request that is not admitted needs no endpoint.

        Args:
            settings: Settings of the balancer.
            seed: Seed of the random numbers.
            persistent_hooks: Hooks that outlive the balancer; they come last.
            predecessor: The hook of the previous policy version; new hooks inherit the state of its hooks of
                the same type.
        """
        hooks: list[BalancerHook] = []
        ejection = EjectionHook(self.reach, settings, seed) if self.reach is not None else None
        if self.overload is not None:
            hooks.append(
                LoadShedding(self.overload, settings, seed, ejection.ejected if ejection else frozenset())
            )
        if self.halls is not None:
            hooks.append(LocalityRouter(self.halls, settings))
        if ejection is not None:
            hooks.append(ejection)
        previous_hooks = member_hooks(predecessor) if predecessor is not None else ()
        for hook in hooks:
            for previous in previous_hooks:
                if type(previous) is type(hook):
                    hook.inherit_from(previous)
        hooks += persistent_hooks
        if len(hooks) == 1:
            return hooks[0]
        return CompositeHook(hooks) if hooks else None


NO_FEATURES = OperatorSettings()


FEATURES = ("halls", "overload", "connections", "reach")  # features that a fleet-wide policy can set


def read_features(top: Table) -> OperatorSettings:
    """Reads the features that a policy can set. The file collects the faults."""
    return OperatorSettings(
        halls=parse_locality_settings(top.table("halls")) if top.has("halls") else None,
        overload=parse_overload_settings(top.table("overload")) if top.has("overload") else None,
        connections=parse_connection_settings(top.table("connections")) if top.has("connections") else None,
        reach=parse_outlier_settings(top.table("reach")) if top.has("reach") else None,
    )


def parse_operators(text: str, name: str) -> OperatorSettings:
    """Reads the text of an operators' file. Raises TomlError with one line per fault."""
    file = File(text, name)
    top = file.top()
    operators = read_features(top)
    gossip: GossipSettings | None = None
    if top.has("gossip"):
        # Checked here once: otherwise each of 300 simulated daemons would report it.
        message = missing_packages_message("[gossip]", "gossip", "cryptography")
        if message:
            raise TomlError(f"{name}: {message}")
        # Imported here so that a daemon without this table runs without the package.
        from client_proxy.membership.settings import parse_gossip_settings

        gossip = parse_gossip_settings(top.table("gossip"))
    top.reject_unknown_keys()
    file.raise_faults()
    return replace(operators, gossip=gossip)


def load_operators(path: str | Path) -> OperatorSettings:
    """Reads the operators' file at a path. Raises TomlError."""
    return parse_operators(read_text(path), str(path))
