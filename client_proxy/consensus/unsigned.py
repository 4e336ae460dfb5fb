"""Signature stubs for running the protocol in one process: the model checker and the simulated cluster."""

from __future__ import annotations

from client_proxy.consensus.messages import AcceptorId


def sign_nothing(content: bytes) -> bytes:
    """Returns an empty signature."""
    return b""


def accept_any_signature(acceptor_id: AcceptorId, content: bytes, signature: bytes) -> bool:
    """Treats every signature as valid."""
    return True
