"""Random draws that depend on names only, not on the order of events.

The draw for a request is the same in whatever order events happen. With one random stream for all draws, two
events in another order would change every later draw, and no two runs of a scenario on a real clock would
agree.
"""

from __future__ import annotations

from hashlib import blake2b
from math import exp, log, sqrt
from random import Random
from statistics import NormalDist

_NORMAL = NormalDist()
_SEPARATOR = "\x1f"
_DIGEST_BYTES = 7
_DIGEST_RANGE = 2**56  # the number of values of a digest
_SMALLEST_QUANTILE = 1e-9  # the smallest distance of a quantile from 0 and 1, where values are infinite


def uniform_draw(*names: object) -> float:
    """Return a number from 0 (included) to 1 (excluded), always the same for the same names."""
    text = _SEPARATOR.join(str(name) for name in names)
    digest = blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big") / _DIGEST_RANGE


def random_stream(*names: object) -> Random:
    """Return a random number generator that is seeded by these names."""
    return Random(int(uniform_draw(*names) * 2**53))


def lognormal(mean: float, variation: float, quantile: float) -> float:
    """Return a value of a lognormal distribution.

    Args:
        mean: the mean of the distribution.
        variation: its coefficient of variation; with 0 the result is the mean.
        quantile: the quantile to return, from 0 to 1.
    """
    if variation <= 0:
        return mean
    sigma2 = log(1 + variation * variation)
    bounded = min(max(quantile, _SMALLEST_QUANTILE), 1 - _SMALLEST_QUANTILE)
    return exp(log(mean) - sigma2 / 2 + sqrt(sigma2) * _NORMAL.inv_cdf(bounded))
