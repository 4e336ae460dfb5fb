"""Authentication of datagrams between instances.

A datagram consists of the sender's number (4 bytes, big-endian), its signature, the message, and a MAC of all
these. The MAC is BLAKE2b keyed with the group's key (RFC 7693). Instances with an acceptor also sign with
their own key (Ed25519, RFC 8032), and their datagrams are dropped without a valid signature; other instances
send zeros in its place. So a faulty member cannot impersonate an acceptor.
"""

from __future__ import annotations

import hmac
import struct
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b

from client_proxy.address import Address
from client_proxy.consensus.acceptor import Verify
from client_proxy.consensus.messages import MAX_MESSAGE_BYTES, AcceptorId
from client_proxy.membership.codec import MAC_BYTES
from client_proxy.membership.keys import Keyring
from client_proxy.membership.messages import SIGNATURE_BYTES

_SENDER = struct.Struct(">I")
_SIGNED_BYTES = _SENDER.size + SIGNATURE_BYTES  # sender and signature, before the message
NO_SIGNATURE = bytes(SIGNATURE_BYTES)
MAX_DATAGRAM_BYTES = _SIGNED_BYTES + MAX_MESSAGE_BYTES + MAC_BYTES


@dataclass(frozen=True, slots=True)
class Peer:
    """An instance with an acceptor.

    Attributes:
        member: The instance's number.
        address: The address on which it listens, UDP and TCP.
        public: Its public key.
    """

    member: int
    address: Address
    public: bytes


@dataclass(frozen=True, slots=True)
class AuthenticatedMessage:
    """The content of an authentic datagram: the sender's number and the encoded message."""

    sender: int
    data: bytes


def acceptor_verifier(peers: Mapping[int, Peer], keyring: Keyring) -> Verify:
    """Returns a function that checks an acceptor's signature with its instance's public key."""

    def verify(acceptor_id: AcceptorId, content: bytes, signature: bytes) -> bool:
        peer = peers.get(acceptor_id.member)
        return peer is not None and keyring.verify(peer.public, content, signature)

    return verify


class DatagramSigner:
    """Signs the datagrams that one instance sends and authenticates those that it receives."""

    def __init__(self, member: int, keyring: Keyring, peers: Mapping[int, Peer]) -> None:
        self._member, self._keyring, self._peers = member, keyring, peers

    def seal(self, data: bytes) -> bytes:
        """Returns the datagram for an encoded message."""
        sender = _SENDER.pack(self._member)
        has_acceptor = self._member in self._peers
        signature = self._keyring.signer.sign(sender + data) if has_acceptor else NO_SIGNATURE
        body = sender + signature + data
        return body + self.mac(self._keyring.sending_group, body)

    def open(self, datagram: bytes) -> AuthenticatedMessage | None:
        """Returns the datagram's content, or None if it is too short or not authentic."""
        body, mac = datagram[:-MAC_BYTES], datagram[-MAC_BYTES:]
        if len(body) <= _SIGNED_BYTES:
            return None
        if not any(hmac.compare_digest(mac, self.mac(group, body)) for group in self._keyring.group_keys):
            return None
        head, data = body[: _SENDER.size], body[_SIGNED_BYTES:]
        sender: int = _SENDER.unpack(head)[0]
        peer = self._peers.get(sender)
        if peer is not None:
            signature = body[_SENDER.size : _SIGNED_BYTES]
            if not self._keyring.verify(peer.public, head + data, signature):
                return None
        return AuthenticatedMessage(sender, data)

    def mac(self, group: int, body: bytes) -> bytes:
        """Returns the MAC of the body with the key of this group."""
        return blake2b(body, key=self._keyring.group_keys[group], digest_size=MAC_BYTES).digest()
