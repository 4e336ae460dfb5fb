"""Keys of simulated instances, derived from a seed: the same seed gives the same keys."""

from __future__ import annotations

from hashlib import blake2b

from client_proxy.membership.keys import Ed25519, Keyring, Signer, issue_certificate, verify_signature
from client_proxy.membership.messages import PUBLIC_KEY_BYTES, SIGNATURE_BYTES

GROUP_KEY_NUMBER = 1
AUTHORITY_NUMBER = 1
_SECRET_BYTES = 32


class FastSigner:
    """Replaces Ed25519 in large simulations: signatures of the same length, fast and without security."""

    def __init__(self, secret: bytes) -> None:
        self.public_key = blake2b(secret, digest_size=PUBLIC_KEY_BYTES).digest()

    def sign(self, data: bytes) -> bytes:
        """Return what `fast_verify` accepts for this key."""
        return blake2b(data, key=self.public_key, digest_size=SIGNATURE_BYTES).digest()


def fast_verify(public_key: bytes, data: bytes, signature: bytes) -> bool:
    """Return whether a `FastSigner` with this public key signed the data."""
    return blake2b(data, key=public_key, digest_size=SIGNATURE_BYTES).digest() == signature


def derive_secret(seed: int, name: str) -> bytes:
    """Return the secret that belongs to a name in the fleet that is derived from a seed."""
    return blake2b(f"{seed}/{name}".encode(), digest_size=_SECRET_BYTES).digest()


def derive_keyring(
    seed: int, member: int, zone: str, fast: bool = False, group: int = GROUP_KEY_NUMBER
) -> Keyring:
    """Return the keys of one instance of a fleet.

    Args:
        seed: the seed of the fleet.
        member: the instance's member number.
        zone: the name of the instance's zone.
        fast: whether `FastSigner` signs, in place of Ed25519.
        group: the number of the group key.
    """

    def signer(name: str) -> Signer:
        secret = derive_secret(seed, name)
        return FastSigner(secret) if fast else Ed25519(secret)

    authority, member_signer = signer("authority"), signer(f"member {member}")
    certificate = issue_certificate(authority, AUTHORITY_NUMBER, member, zone, 1, member_signer.public_key)
    group_keys = {group: derive_secret(seed, f"group {group}")}
    authority_keys = {AUTHORITY_NUMBER: authority.public_key}
    return Keyring(
        certificate, member_signer, group_keys, authority_keys, fast_verify if fast else verify_signature
    )
