"""Processor time of one Ed25519 signature and of its verification, by the number of signed bytes."""

from __future__ import annotations

import time

from benchmarks.scale.cost import Cost, Quantity, Readings
from client_proxy.membership.keys import Ed25519, verify_signature

BYTES = (64, 128, 256, 600, 1200)  # a datagram of the agreement has at most 1,200
REPEATS = 300
SECRET = bytes(range(32))


def measure(size: int, repeats: int = REPEATS) -> Readings:
    key = Ed25519(SECRET)
    data = bytes(size)
    signature = key.sign(data)
    start_s = time.process_time()
    for _ in range(repeats):
        key.sign(data)
    signed_s = time.process_time()
    for _ in range(repeats):
        verify_signature(key.public_key, data, signature)
    verified_s = time.process_time()
    return {"sign": 1e6 * (signed_s - start_s) / repeats, "verify": 1e6 * (verified_s - signed_s) / repeats}


COST = Cost(
    name="signature",
    axis="bytes signed",
    sizes=BYTES,
    basis="processor time",
    quantities=(Quantity("sign", "us"), Quantity("verify", "us")),
    measure=measure,
)
