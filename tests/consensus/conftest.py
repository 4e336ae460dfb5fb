"""Fixtures for the consensus tests."""

from __future__ import annotations

import pytest

from client_proxy.consensus.acceptor import Acceptor
from client_proxy.consensus.lease_holder import LeaseHolder
from client_proxy.consensus.node import Node
from client_proxy.consensus.proposer import Proposal
from tests.consensus.builders import make_acceptor, make_lease_holder, make_node, make_proposal


@pytest.fixture
def acceptor() -> Acceptor:
    """The acceptor of member 0, which knows the first version."""
    return make_acceptor()


@pytest.fixture
def lease_holder() -> LeaseHolder:
    """The lease holder of an instance without an acceptor; it knows the first version and has no lease."""
    return make_lease_holder()


@pytest.fixture
def proposal() -> Proposal:
    """A proposal without validators."""
    return make_proposal()


@pytest.fixture
def node() -> Node:
    """The node of member 0, which knows the first version."""
    return make_node()
