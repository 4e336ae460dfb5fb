"""Errors of the consensus package.

They derive from `ValueError`, which callers outside the package catch for any invalid input.
"""

from __future__ import annotations


class ConsensusError(ValueError):
    """Base class of all errors of the consensus package."""


class MessageDecodeError(ConsensusError):
    """The bytes are not a valid message of the protocol."""


class ProposalError(ConsensusError):
    """A change cannot be proposed, withdrawn or rolled back at this instance or at this time."""


class AcceptorChangeError(ConsensusError):
    """The acceptors of a proposed version are not a permitted change of the current ones."""


class BootstrapError(ConsensusError):
    """The state of an acceptor cannot be created at this instance."""


class RecoveryError(ConsensusError):
    """The stored state is not sufficient to start a new epoch."""
